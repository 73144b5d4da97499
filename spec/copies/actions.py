"""Actions of the operator, the store and the instances."""

from collections.abc import Iterator

from spec.copies.instance import STARTED, Instance
from spec.copies.rules import Rules
from spec.copies.state import State

Steps = Iterator[tuple[str, State]]
LAST_VERSION = 4


def with_instance(state: State, index: int, instance: Instance) -> State:
    """Return the state with one instance replaced."""
    instances = state.instances[:index] + (instance,) + state.instances[index + 1 :]
    return state._replace(instances=instances)


def write(state: State, rules: Rules) -> Steps:
    """Write the configuration, an evacuation, or a row of another table."""
    version = state.version + 1
    if version > LAST_VERSION:
        return
    yield "configuration", state._replace(configuration=version, version=version)
    yield "evacuation", state._replace(evacuations=version, version=version)
    yield "other", state._replace(version=version)


def read_store(state: State, rules: Rules) -> Steps:
    """Answer a complete read, or a feed from the reader's position."""
    for index, instance in enumerate(state.instances):
        if not instance.reads:
            continue
        after = instance
        if state.configuration > instance.feed:
            newest = max(state.configuration, instance.configuration)
            after = after._replace(configuration=newest)
        if state.evacuations > instance.feed:
            after = after._replace(evacuations=state.evacuations)
        after = after._replace(position=state.version, feed=state.version)
        yield f"instance={index}", with_instance(state, index, after)


def stop_reading(state: State, rules: Rules) -> Steps:
    """Stop reading, as enough others do."""
    for index, instance in enumerate(state.instances):
        if instance.reads and instance.position:
            after = instance._replace(reads=False, feed=0)
            yield f"instance={index}", with_instance(state, index, after)


def begin_reading(state: State, rules: Rules) -> Steps:
    """Read again, from the position of what is held."""
    for index, instance in enumerate(state.instances):
        if instance.reads:
            continue
        feed = instance.position
        if not rules.reading_begins_at_what_is_held:
            feed = state.version
        after = instance._replace(reads=True, feed=feed)
        yield f"instance={index}", with_instance(state, index, after)


def send_digest(state: State, rules: Rules) -> Steps:
    """Send a digest, which replaces one that is lost or late."""
    for index, instance in enumerate(state.instances):
        if instance.position:
            yield f"instance={index}", state._replace(digest=instance)


def receive_digest(state: State, rules: Rules) -> Steps:
    """Take over the position of an instance that holds the same."""
    digest = state.digest
    if digest is None:
        return
    for index, instance in enumerate(state.instances):
        has_same_configuration = instance.configuration == digest.configuration
        has_same_evacuations = instance.evacuations == digest.evacuations
        if not instance.position:
            continue
        if rules.digest_confirms_equal_configuration_only and (
            not has_same_configuration
        ):
            continue
        if rules.digest_confirms_equal_evacuations_only and not has_same_evacuations:
            continue
        position = max(instance.position, digest.position)
        after = instance._replace(position=position)
        yield f"instance={index}", with_instance(state, index, after)


def send_copy(state: State, rules: Rules) -> Steps:
    """Send a copy; it may arrive late, at any instance that has asked for it."""
    for index, instance in enumerate(state.instances):
        if instance.position:
            yield f"instance={index}", state._replace(copy=instance)


def receive_copy(state: State, rules: Rules) -> Steps:
    """Take a copy over, unless it is older than what is held."""
    copy = state.copy
    if copy is None:
        return
    for index, instance in enumerate(state.instances):
        if rules.older_copies_are_ignored and copy.position < instance.position:
            continue
        after = instance._replace(
            configuration=max(instance.configuration, copy.configuration),
            evacuations=copy.evacuations,
            position=max(instance.position, copy.position),
        )
        yield f"instance={index}", with_instance(state, index, after)


def restart(state: State, rules: Rules) -> Steps:
    """Start an instance again, with nothing."""
    for index in range(len(state.instances)):
        yield f"instance={index}", with_instance(state, index, STARTED)
