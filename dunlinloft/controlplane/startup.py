"""Startup sequence of a control plane's components, except the HTTP API."""

from __future__ import annotations

from contextlib import AsyncExitStack
from pathlib import Path

from absl import logging

from dunlinloft.controlplane.components import Components, build_components, build_replica
from dunlinloft.controlplane.disk_writer import open_disk_writer
from dunlinloft.controlplane.file_layer import OS_FILE_SYSTEM, FileSystem
from dunlinloft.controlplane.loops import PeriodicLoops
from dunlinloft.controlplane.peer_connections import PeerConnections
from dunlinloft.controlplane.store import MAX_LOG_BYTES
from dunlinloft.controlplane.stream_server import serve_streams
from dunlinloft.coordination.views import FIRST_INCARNATION, initial_view
from dunlinloft.settings import split_host_port
from dunlinloft.transport.live_settings import LiveSettings
from dunlinloft.transport.tasks import BackgroundTasks, run_essential


async def start_components(
    live_settings: LiveSettings,
    started_ms: float,
    stack: AsyncExitStack,
    files: FileSystem = OS_FILE_SYSTEM,
    max_log_bytes: int = MAX_LOG_BYTES,
) -> Components:
    """Build and start a control plane's components; `stack` closes them in reverse order.

    The order matters: no message may be sent before the durable state is recovered.

    Parameters
    ----------
    started_ms:
        Start time of the process on the `now_ms` clock.
    files, max_log_bytes:
        See `ReplicaStore`.

    Raises
    ------
    StoreError
        The data directory was written in another format.
    OSError
        The internal listener can't bind its address.
    """
    settings = live_settings.current
    counts_for_quorum = settings.counts_for_quorum
    directory = Path(settings.data_directory) if settings.data_directory and counts_for_quorum else None
    first_incarnation = FIRST_INCARNATION if settings.bootstrap else None
    disk = await stack.enter_async_context(
        open_disk_writer(directory, first_incarnation, files, max_log_bytes)
    )
    replica = build_replica(settings, disk.durable)
    members = await disk.read_members()
    peers = await stack.enter_async_context(PeerConnections())
    acknowledgements = await stack.enter_async_context(BackgroundTasks())
    components = build_components(
        live_settings, started_ms, replica, disk, peers, members, acknowledgements.start
    )
    address = settings.control_address(settings.ip_address)
    is_first_start = settings.bootstrap and counts_for_quorum and address in settings.seed_addresses()
    components.replica_host.start(initial_view(settings.seed_addresses()) if is_first_start else None)
    host, port = split_host_port(address)
    await stack.enter_async_context(serve_streams(components.stream_services(), host, port))
    logging.info("event=started node=%s member=%s", settings.node_name, replica.local_member.id)
    tasks = await stack.enter_async_context(BackgroundTasks())
    for loop in PeriodicLoops(components).coroutines():
        tasks.start(run_essential(loop, settings.node_name))
    return components
