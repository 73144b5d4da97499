"""Actions of operators, instances and the platform.

Messages are never stored: a write, a push or an answer that may still arrive is an
enabled action, so loss, repetition and reordering are covered.
"""

from collections.abc import Iterator

from spec.configuration.change import Change
from spec.configuration.instance import Instance
from spec.configuration.rules import Rules
from spec.configuration.state import State

Steps = Iterator[tuple[str, State]]


def with_change(state: State, number: int, change: Change) -> State:
    """Return the state with one change replaced."""
    changes = state.changes[:number] + (change,) + state.changes[number + 1 :]
    return state._replace(changes=changes)


def with_instance(state: State, index: int, instance: Instance) -> State:
    """Return the state with one instance replaced."""
    instances = state.instances[:index] + (instance,) + state.instances[index + 1 :]
    return state._replace(instances=instances)


def submit(state: State, rules: Rules) -> Steps:
    """Send an operator's change, expecting the version of its instance."""
    for number, change in enumerate(state.changes):
        if change.expected >= 0:
            continue
        for index, instance in enumerate(state.instances):
            if instance.serving:
                sent = Change(instance.version, "")
                name = f"change={number + 1} instance={index}"
                yield name, with_change(state, number, sent)


def write(state: State, rules: Rules) -> Steps:
    """Apply a copy of a write at the platform by compare-and-set."""
    for number, change in enumerate(state.changes):
        if change.expected < 0 or number + 1 in state.row:
            continue
        if change.expected == len(state.row) or not rules.compare_and_set:
            row = state.row[: change.expected] + (number + 1,)
            yield f"change={number + 1}", state._replace(row=row)


def answer(state: State, rules: Rules) -> Steps:
    """Receive the platform's answer to a copy of a write."""
    for number, change in enumerate(state.changes):
        if change.expected < 0 or change.reported:
            continue
        if number + 1 in state.row:
            accepted = change._replace(reported="accepted")
            yield f"change={number + 1} accepted", with_change(state, number, accepted)
        if len(state.row) > change.expected and not rules.conflict_is_read_back:
            refused = change._replace(reported="refused")
            yield f"change={number + 1} conflict", with_change(state, number, refused)


def read_back(state: State, rules: Rules) -> Steps:
    """Decide a change from the row, after a lost answer or a conflict."""
    for number, change in enumerate(state.changes):
        if change.expected < 0 or change.reported:
            continue
        if len(state.row) <= change.expected and rules.undecided_is_not_refused:
            continue
        position = change.expected if rules.row_keeps_write_ids else -1
        mine = state.row[position:][:1] == (number + 1,)
        reported = "accepted" if mine else "refused"
        after = change._replace(reported=reported)
        yield f"change={number + 1} {reported}", with_change(state, number, after)


def applied(instance: Instance, version: int, preset: int, rules: Rules) -> Instance:
    """Return the instance after it received a document."""
    if version <= instance.version and rules.ignore_lower_version:
        return instance
    return instance._replace(version=version, preset=preset)


def served(instance: Instance) -> Instance:
    """Return the instance with its highest served version updated."""
    if not instance.serving:
        return instance
    return instance._replace(highest=max(instance.highest, instance.version))


def push(state: State, rules: Rules) -> Steps:
    """Receive a peer's push of any version so far, also late or repeated."""
    documents = list(enumerate(state.row, 1))
    if not rules.push_after_acceptance:
        documents += [
            (change.expected + 1, number)
            for number, change in enumerate(state.changes, 1)
            if change.expected >= 0
        ]
    for index, instance in enumerate(state.instances):
        for version, preset in documents:
            after = applied(instance, version, preset, rules)
            if not rules.restart_reads_platform:
                after = after._replace(serving=True)
            yield (
                f"instance={index} version={version}",
                with_instance(state, index, served(after)),
            )


def poll(state: State, rules: Rules) -> Steps:
    """Read the platform's row; a restarted instance may then take work."""
    for index, instance in enumerate(state.instances):
        after = applied(instance, len(state.row), state.row[-1], rules)
        after = served(after._replace(serving=True))
        yield f"instance={index}", with_instance(state, index, after)


def restart(state: State, rules: Rules) -> Steps:
    """Restart an instance, which loses its state."""
    for index, instance in enumerate(state.instances):
        fresh = Instance(0, 0, False, instance.highest)
        yield f"instance={index}", with_instance(state, index, fresh)
