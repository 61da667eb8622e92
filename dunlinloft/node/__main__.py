"""Starts a node from the file that NODE_CONFIG names.

SIGTERM ends the process once all open requests are answered. SIGHUP makes it read the file again, and move
to another discovery address if the file names one.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import NoReturn

import uvloop

from dunlinloft.node import logs
from dunlinloft.node.config import ConfigFileError, read_config, reread_config
from dunlinloft.node.http.handover import Siblings, inherited_socket
from dunlinloft.node.node import Node

ACCEPT_AFTER_SIGTERM_S = 0.45  # new connections arrive for up to 0.4 s after SIGTERM
SIBLING_CHECK_INTERVAL_S = 0.1  # between checks for other processes of this node
LAG_CHECK_INTERVAL_S, LAG_LOG_THRESHOLD_S = 1.0, 0.1  # of the event loop


async def run(path: str) -> int:
    """Serve until SIGTERM; return the exit status."""
    try:
        config = read_config(path)
    except ConfigFileError as error:
        print(f"dunlinloft.node: {error}", file=sys.stderr)
        return 2
    logs.setup(config.name, config.log)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    node = Node(config, loop)
    loop.add_signal_handler(signal.SIGHUP, reload, node, path)
    address = config.listen
    siblings = None
    try:
        handed = inherited_socket(os.environ.get("NODE_ACCEPT_FD"))
        if config.management is not None:
            address = config.management
            await node.admin.listen(address)
        address = config.listen
        if handed is None:
            address = await node.frontend.listen(loop, config.listen)
    except OSError as error:
        print(f"dunlinloft.node: can't listen on {address[0]}:{address[1]}: {error}", file=sys.stderr)
        return 2
    if handed is not None:
        siblings = Siblings(Path(os.environ.get("TMPDIR") or tempfile.gettempdir()))
        node.share_sockets(siblings.others())
    node.start()
    # Objects created at startup live until the process ends: garbage collection can skip them.
    gc.collect()
    gc.freeze()
    watch_lag(loop, loop.time())
    if handed is None or siblings is None:
        logs.info("started", "started, listening on %(address)s", address=f"{address[0]}:{address[1]}")
        await stopping.wait()
        logs.info("stopping", "stopping")
        node.leave_fleet(handing_over=False)
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        await node.stop()
    else:
        await serve_with_siblings(node, loop, handed, siblings, stopping)
    logs.info("stopped", "stopped")
    return exit_process()


def exit_process() -> NoReturn:
    """Exit with status 0, without closing the event loop.

    Closing it restores the default signal handlers, and libuv's threads receive signals even if the main
    thread blocks them: a late SIGHUP would look like a crash.
    """
    for sign in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(sign, signal.SIG_IGN)
    logging.shutdown()
    os._exit(0)


async def serve_with_siblings(
    node: Node,
    loop: asyncio.AbstractEventLoop,
    handed: socket.socket,
    siblings: Siblings,
    stopping: asyncio.Event,
) -> None:
    """Serve on a listening socket that the platform owns, until SIGTERM has come and all is answered."""
    processes = 1 + len(siblings.others())
    accepting = False

    def update_processes() -> None:
        """Publish the number of sockets in use, and share the limits with the other processes."""
        nonlocal processes
        siblings.publish_socket_count(node.sockets())
        others = siblings.others()
        if 1 + len(others) != processes:
            processes = 1 + len(others)
            logs.info("processes", "this node has %(processes)d processes", processes=processes)
        node.share_sockets(others)

    async def watch() -> None:
        """Check for other processes at intervals."""
        while True:
            await asyncio.sleep(SIBLING_CHECK_INTERVAL_S)
            update_processes()

    watch_task = loop.create_task(watch())
    while not stopping.is_set():
        # The first process accepts at once: readiness checks need an answer even before it can serve.
        if not accepting and (processes == 1 or node.can_serve()):
            accepting = True
            await node.frontend.accept_from(loop, handed)
            text = "started, accepting at descriptor %(descriptor)d"
            logs.info("started", text, descriptor=handed.fileno())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopping.wait(), None if accepting else SIBLING_CHECK_INTERVAL_S / 2.0)
    update_processes()
    logs.info("stopping", "stopping, %(others)d others go on serving", others=processes - 1)
    node.leave_fleet(handing_over=processes > 1)
    node.frontend.stop_accepting(processes > 1)
    await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
    await node.stop()
    watch_task.cancel()
    siblings.leave()


def reload(node: Node, path: str) -> None:
    """Read the configuration file again; an invalid one changes nothing."""
    try:
        config = reread_config(path, node.config)
    except ConfigFileError as error:
        node.metrics.reconfig_failed += 1
        logs.warning("settings refused", "invalid configuration, current one kept: %(why)s", why=str(error))
    else:
        node.reload(config)
        where = f"{config.discovery[0]}:{config.discovery[1]}"
        logs.info("settings", "configuration reloaded, discovery at %(discovery)s", discovery=where)
        names = ", ".join(cls.name for cls in config.settings.classes)
        attempts = config.settings.max_attempts
        logs.info("classes", "classes %(classes)s; %(attempts)d attempts", classes=names, attempts=attempts)


def watch_lag(loop: asyncio.AbstractEventLoop, due_s: float) -> None:
    """Log when the event loop runs late, the first sign of CPU shortage."""
    late_s = loop.time() - due_s
    if late_s > LAG_LOG_THRESHOLD_S:
        logs.warning("late", "the event loop ran %(late_ms).0f ms late", late_ms=late_s * 1000.0)
    next_s = loop.time() + LAG_CHECK_INTERVAL_S
    loop.call_at(next_s, watch_lag, loop, next_s)


def main() -> int:
    """Run the program; return the exit status."""
    path = os.environ.get("NODE_CONFIG")
    if not path:
        print("dunlinloft.node: NODE_CONFIG must name the configuration file", file=sys.stderr)
        return 2
    return uvloop.run(run(path))


if __name__ == "__main__":
    sys.exit(main())
