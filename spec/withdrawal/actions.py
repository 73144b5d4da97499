"""Actions of instances around one withdrawal and one change of view."""

from collections.abc import Iterator

from spec.withdrawal.instance import Instance
from spec.withdrawal.rules import Rules
from spec.withdrawal.state import State

Steps = Iterator[tuple[str, State]]
VIEWS = (0, 0b011, 0b110)
LAST_EPOCH = 2
VALIDITY = 2
VOTE_QUORUM = 2
CHANGE_QUORUM = 1


def with_instance(state: State, index: int, instance: Instance) -> State:
    """Return the state with one instance replaced."""
    instances = state.instances[:index] + (instance,) + state.instances[index + 1 :]
    return state._replace(instances=instances)


def is_member(index: int, epoch: int) -> bool:
    """Return whether an instance is in the view of an epoch."""
    return bool(VIEWS[epoch] >> index & 1)


def withdraw(state: State, rules: Rules) -> Steps:
    """Accept an operator's withdrawal at an instance with authority."""
    if any(instance.knows for instance in state.instances) or state.stored:
        return
    for index, instance in enumerate(state.instances):
        if instance.authority:
            knowing = instance._replace(knows=True)
            yield f"instance={index}", with_instance(state, index, knowing)


def broadcast(state: State, rules: Rules) -> Steps:
    """Apply a peer's withdrawal."""
    if any(instance.knows for instance in state.instances):
        for index, instance in enumerate(state.instances):
            if instance.epoch:
                knowing = instance._replace(knows=True)
                yield f"instance={index}", with_instance(state, index, knowing)


def confirm(state: State, rules: Rules) -> Steps:
    """Confirm the withdrawal as a member of the instance's epoch."""
    for index, instance in enumerate(state.instances):
        if not instance.knows or not is_member(index, instance.epoch):
            continue
        fenced = instance.promised >= instance.epoch
        if fenced and rules.promise_stops_confirming:
            continue
        masks = list(state.confirmed)
        masks[instance.epoch] |= 1 << index
        confirmed = (masks[0], masks[1], masks[2])
        yield f"instance={index}", state._replace(confirmed=confirmed)


def store(state: State, rules: Rules) -> Steps:
    """Store the withdrawal, expecting the epoch of the instance that stores it."""
    for index, instance in enumerate(state.instances):
        if not instance.knows or state.stored:
            continue
        if rules.store_expects_own_epoch and instance.epoch != state.epoch:
            continue
        yield f"instance={index}", state._replace(stored=instance.epoch)


def report(state: State, rules: Rules) -> Steps:
    """Report that the withdrawal is in force in an epoch."""
    if state.reported is not None:
        return
    for epoch in range(1, LAST_EPOCH + 1):
        count = state.confirmed[epoch].bit_count()
        stored = 0 < state.stored <= epoch or not rules.stored_is_needed
        quorum = count >= CHANGE_QUORUM or not rules.change_quorum_is_needed
        everyone = count == VIEWS[epoch].bit_count() and rules.all_members_suffice
        if (stored and quorum) or everyone:
            yield f"epoch={epoch}", state._replace(reported=VALIDITY)


def promise(state: State, rules: Rules) -> Steps:
    """Promise a proposer to stop voting for the first epoch."""
    if state.epoch == LAST_EPOCH:
        return
    for index, instance in enumerate(state.instances):
        if is_member(index, state.epoch):
            after = state._replace(
                promises=state.promises | 1 << index,
                carried=state.carried or instance.knows,
            )
            promised = instance._replace(promised=state.epoch)
            yield f"instance={index}", with_instance(after, index, promised)


def change_view(state: State, rules: Rules) -> Steps:
    """Write the next epoch, and with it the withdrawals that promises carried."""
    if state.epoch == LAST_EPOCH or state.promises.bit_count() < CHANGE_QUORUM:
        return
    stored = state.stored
    if state.carried and rules.view_change_stores_withdrawal:
        stored = stored or state.epoch
    after = state._replace(epoch=state.epoch + 1, promises=0, carried=False)
    yield "", after._replace(stored=stored)


def read_platform(state: State, rules: Rules) -> Steps:
    """Adopt the platform's epoch and withdrawals in one read."""
    for index, instance in enumerate(state.instances):
        after = instance
        if instance.epoch < state.epoch:
            promised, knows = instance.promised, instance.knows
            after = Instance(state.epoch, promised, knows, 0, 0)
        if state.stored and rules.read_includes_withdrawals:
            after = after._replace(knows=True)
        if is_member(index, state.epoch):
            # An open round cannot outlast this authority, so it is dropped.
            after = after._replace(authority=VALIDITY, asked=0)
        yield f"instance={index}", with_instance(state, index, after)


def votes_for(index: int, instance: Instance, epoch: int) -> bool:
    """Return whether an instance votes for an epoch."""
    member = is_member(index, epoch)
    return member and instance.epoch == epoch and instance.promised < epoch


def send_heartbeat(state: State, rules: Rules) -> Steps:
    """Start a round of heartbeats."""
    for index, instance in enumerate(state.instances):
        useful = instance.authority < VALIDITY
        if useful and votes_for(index, instance, instance.epoch):
            asked = instance._replace(asked=VALIDITY)
            yield f"instance={index}", with_instance(state, index, asked)


def vote(state: State, rules: Rules) -> Steps:
    """Answer a heartbeat; with the vote of the sender itself this is the quorum."""
    for index, asker in enumerate(state.instances):
        for peer, instance in enumerate(state.instances):
            if peer == index or not asker.asked:
                continue
            if not votes_for(peer, instance, asker.epoch):
                continue
            carried = instance.knows and rules.vote_carries_withdrawal
            after = asker._replace(
                authority=max(asker.authority, asker.asked),
                asked=0,
                knows=asker.knows or carried,
            )
            yield f"peer={peer} asker={index}", with_instance(state, index, after)


def tick(state: State, rules: Rules) -> Steps:
    """Let one tick pass at all instances."""
    reported = None if state.reported is None else max(0, state.reported - 1)
    instances = tuple(
        instance._replace(
            authority=max(0, instance.authority - 1), asked=max(0, instance.asked - 1)
        )
        for instance in state.instances
    )
    yield "", state._replace(reported=reported, instances=instances)
