"""What a committed configuration changes on this control plane."""

from __future__ import annotations

from absl import logging

from dunlinloft.configuration import to_configuration
from dunlinloft.controlplane.node_publisher import NodePublisher
from dunlinloft.controlplane.placement_service import PlacementService
from dunlinloft.controlplane.quota_service import QuotaService
from dunlinloft.coordination.state import ChainState, LogEntry
from dunlinloft.exceptions import ConfigurationError


class CommitHandler:
    """Sends committed configurations to the nodes, and puts them in force here."""

    def __init__(self, publisher: NodePublisher, quotas: QuotaService, placement: PlacementService) -> None:
        self._publisher = publisher
        self._quotas = quotas
        self._placement = placement

    def on_commit(self, state: ChainState, entry: LogEntry | None) -> None:
        """Handle a committed state; `entry` is what made it of the one before, where that is known.

        A configuration that this program can't use is logged; nodes get it all the same, as they may run
        another version of it.
        """
        self._publisher.publish_state(state, entry)
        try:
            configuration = to_configuration(state.document)
        except ConfigurationError as error:
            logging.error("event=configuration_refused version=%d error=%s", state.version, error)
        else:
            self._quotas.configure(configuration)
            self._placement.configure(configuration)
        logging.info("event=committed sequence=%d version=%d", state.sequence, state.version)
