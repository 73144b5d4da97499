"""Checks that tasks which one client or peer can reach are isolated.

Every ``start_soon`` starts ``run_isolated``, or one of the tasks below. The last line
counts the checks, for ``run_checks.py``.
"""

import ast
import sys
from pathlib import Path

SRC = Path(__file__).resolve().parent.parent / "src" / "jackdawspread"
# Programs for tests and command lines, which end at an error.
EXCLUDED = ("standins", "commands")
# Tasks that the whole process depends on: one per kind, started once.
PROCESS_TASKS = {
    "composition.py": {
        "registration.run",
        "owner.run",
        "client.run",
        "control.run",
        "ControlTimer(self._control.clone()).run",
        "peer_client.run",
        "server.run",
        "gateway.run",
        "self._drain",
        "HttpServer(*).run",
    },
    "platform/composition.py": {
        "listener.run",
        "pool_server.run",
        "ActivityLog().run",
        "router.run",
        "broker.run",
        "admission.run",
        "acknowledgements.run",
        "reader.run",
        "copier.run",
        "keeper.run",
        "copies.run",
        "poll.run",
        "promotions.run",
        "datagrams.run",
        "leases.run",
        "directory.run",
        "capacities.run",
        "promotion_client.run",
        "failover_task.run",
        "roster_task.run",
        "demotions.run",
        "announcement_task.run",
        "store.run",
        "server.run",
    },
    "platform/daemon.py": {"_watch_signals"},
    "platform/configuration_reader.py": {"self._receive"},
    "tasks/database_owner.py": {"self._receive_outcomes", "self._tick"},
    "tasks/fleet/peer_datagrams.py": {"self._receive"},
    "tasks/http_server.py": {"self._accept"},
}
# Tasks in the nursery of a task that is isolated itself, so an error ends that one, and
# tasks whose loss their owner would not notice, so that a restart is better.
CHILD_TASKS = {
    "tasks/connection_manager.py": {"_run_in_scope"},
    "tasks/fleet/acknowledgement_fence.py": {"self._cancel_wait"},
    "tasks/fleet/failover_selection.py": {"demote"},
    "tasks/fleet/promotion_announcement_task.py": {"self._announce_here"},
    "tasks/fleet/replication_control.py": {"send_one", "resume"},
    "tasks/http_client.py": {"connection.run"},
    "tasks/instance_registration.py": {"connection.run"},
    "tasks/peer_client.py": {"task.run"},
    "tasks/peer_server.py": {"stream.run"},
    "tasks/pending_replies.py": {"_send_later"},
    "tasks/pool_hosts/pool_host_link.py": {"self._read"},
    "tasks/pool_hosts/pool_server_stream.py": {
        "self._write",
        "self._lease",
        "self._answer",
    },
}


def started_tasks(tree: ast.AST) -> list[tuple[int, str]]:
    """Return the line and the text of each task that is started."""
    started = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and node.args:
            arguments = node.args
            is_start = getattr(node.func, "attr", "") == "start_soon"
            if getattr(arguments[0], "attr", "") == "start_soon":
                is_start, arguments = True, arguments[1:]
            if is_start:
                started.append((node.lineno, _text(arguments[0])))
    return started


def _text(task: ast.expr) -> str:
    text = ast.unparse(task)
    return "HttpServer(*).run" if text.startswith("HttpServer(") else text


def main() -> int:
    """Print each start of a task that is neither isolated nor listed."""
    passed = failed = 0
    for path in sorted(SRC.rglob("*.py")):
        name = path.relative_to(SRC).as_posix()
        if name.startswith(EXCLUDED):
            continue
        listed = PROCESS_TASKS.get(name, set()) | CHILD_TASKS.get(name, set())
        for line, task in started_tasks(ast.parse(path.read_text(encoding="utf-8"))):
            if task == "run_isolated" or task in listed:
                passed += 1
            else:
                failed += 1
                print(f"{name}:{line}: {task} is started without run_isolated")
    print(f"{passed} checks passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
