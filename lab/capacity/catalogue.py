"""All capacity experiments, by name."""

from __future__ import annotations

from lab.capacity import added, chain, control, lists, membership, peaks, shared
from lab.capacity.model import Experiment

EXPERIMENTS: dict[str, Experiment] = {
    experiment.name: experiment
    for part in (membership, shared, lists, control, peaks, chain, added)
    for experiment in part.EXPERIMENTS
}
