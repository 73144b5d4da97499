"""Actions of instances that admit requests of one workspace.

Messages are never stored: ``grant`` and ``use_grant`` stay enabled while a repeated or
late message may arrive, and a pause of the requester is an action not taken.
"""

from collections.abc import Iterator

from spec.rates.grant import Grant
from spec.rates.rules import Rules
from spec.rates.state import State

Steps = Iterator[tuple[str, State]]
INSTANCES = 3
SHARE_OF_BURST = 2
SHARE_OF_RATE = 1
BURST = INSTANCES * SHARE_OF_BURST
RATE = INSTANCES * SHARE_OF_RATE
GRANTS = 2
GRANT_TICKS = 2


def with_tokens(state: State, index: int, tokens: int) -> State:
    """Return the state with one bucket replaced."""
    changed = state.tokens[:index] + (tokens,) + state.tokens[index + 1 :]
    return state._replace(tokens=changed)


def with_grant(state: State, number: int, grant: Grant) -> State:
    """Return the state with one grant replaced."""
    grants = state.grants[:number] + (grant,) + state.grants[number + 1 :]
    return state._replace(grants=grants)


def count_admission(state: State) -> State:
    """Return the state after one more admission."""
    return state._replace(admitted=min(state.admitted + 1, BURST + 1))


def granter(grant: Grant) -> int:
    """Return the peer to which the spend request is sent."""
    return (grant.asker + 1) % INSTANCES


def admit(state: State, rules: Rules) -> Steps:
    """Admit a request from the instance's own bucket."""
    for index, tokens in enumerate(state.tokens):
        if tokens:
            yield (
                f"instance={index}",
                count_admission(with_tokens(state, index, tokens - 1)),
            )


def ask(state: State, rules: Rules) -> Steps:
    """Send a spend request to a peer for a waiting request."""
    for number, grant in enumerate(state.grants):
        if grant.asked or grant.counted is not None:
            continue
        for asker in range(INSTANCES):
            asked = Grant(asker, GRANT_TICKS, None, 0)
            yield f"asker={asker} id={number}", with_grant(state, number, asked)
        return


def grant_spend(state: State, rules: Rules) -> Steps:
    """Debit the bucket and grant; a late or repeated request is debited too."""
    for number, grant in enumerate(state.grants):
        index = granter(grant)
        if grant.asker < 0 or not state.tokens[index]:
            continue
        left = state.tokens[index] - rules.debit_granter
        given = grant._replace(counted=rules.count_grant_ticks)
        after = with_tokens(with_grant(state, number, given), index, left)
        yield f"granter={index} id={number}", after


def use_grant(state: State, rules: Rules) -> Steps:
    """Admit the waiting request with the grant."""
    for number, grant in enumerate(state.grants):
        if grant.counted is None or (grant.uses and rules.use_grant_once):
            continue
        if not grant.asked and rules.discard_late_grant:
            continue
        used = grant._replace(uses=1)
        yield (
            f"asker={grant.asker} id={number}",
            count_admission(with_grant(state, number, used)),
        )


def tick(state: State, rules: Rules) -> Steps:
    """Let one tick pass: grants age, and buckets fill up to their caps."""
    grants = []
    caps = [SHARE_OF_BURST] * INSTANCES
    for grant in state.grants:
        aged = grant._replace(
            asked=max(0, grant.asked - 1),
            counted=grant.counted and grant.counted - 1,
        )
        if aged.counted and rules.count_against_cap:
            caps[granter(aged)] -= 1
        finished = not aged.asked and not aged.counted and aged.counted is not None
        if finished and rules.discard_late_grant:
            aged = FREE
        grants.append(aged)
    tokens = tuple(
        max(held, min(cap, held + SHARE_OF_RATE))
        for held, cap in zip(state.tokens, caps, strict=True)
    )
    yield "", State(tokens, tuple(grants), max(0, state.admitted - RATE))


FREE = Grant(-1, 0, None, 0)
