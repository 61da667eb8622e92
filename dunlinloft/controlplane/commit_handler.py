"""Applies committed configurations on this control plane and publishes them to the nodes."""

from __future__ import annotations

from absl import logging

from dunlinloft.configuration import to_configuration
from dunlinloft.controlplane.node_publisher import NodePublisher
from dunlinloft.controlplane.placement_service import PlacementService
from dunlinloft.controlplane.quota_service import QuotaService
from dunlinloft.coordination.state import ChainState, LogEntry
from dunlinloft.exceptions import ConfigurationError

# Raised by computing with a value that the validation should not have accepted.
CONFIGURE_ERRORS = (ArithmeticError, LookupError, TypeError, ValueError)


class CommitHandler:
    """Publishes committed configurations to the nodes and applies them locally."""

    def __init__(self, publisher: NodePublisher, quotas: QuotaService, placement: PlacementService) -> None:
        self._publisher = publisher
        self._quotas = quotas
        self._placement = placement

    def on_commit(self, state: ChainState, entry: LogEntry | None) -> None:
        """Handle a committed state; `entry` is the log entry that produced it, if known.

        A configuration that is invalid for this program version is logged and not applied here. It is still
        published, because nodes may run another version that accepts it.

        A failure to apply it doesn't reach the caller either. It would end the process, and again at each
        start, because the configuration is committed and on disk.
        """
        self._publisher.publish_state(state, entry)
        try:
            configuration = to_configuration(state.document)
        except ConfigurationError as error:
            logging.error("event=configuration_refused version=%d error=%s", state.version, error)
        else:
            for service in (self._quotas, self._placement):
                try:
                    service.configure(configuration)
                except CONFIGURE_ERRORS:
                    logging.exception("event=configuration_not_applied version=%d", state.version)
        logging.info("event=committed sequence=%d version=%d", state.sequence, state.version)
