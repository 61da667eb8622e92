"""All experiments by name."""

from __future__ import annotations

from lab.capacity import lists, membership
from lab.capacity.model import Experiment

EXPERIMENTS: dict[str, Experiment] = {
    experiment.name: experiment for part in (membership, lists) for experiment in part.EXPERIMENTS
}
