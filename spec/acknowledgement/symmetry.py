"""Merges states that differ only by the names of members and instances."""

from spec.acknowledgement.attempt import Attempt
from spec.acknowledgement.instance import Instance
from spec.acknowledgement.members import JOINING, MEMBERS, bit
from spec.acknowledgement.state import State


def canonical(state: State) -> State:
    """Return the state with the members in the order of what is known of each.

    Everything in the state concerns one member at a time, so members with equal
    signatures are interchangeable. The member that joins keeps its name, as do the
    others among themselves only by this order.
    """
    instances = tuple(sorted(state.instances))
    state = state._replace(instances=instances)
    order = sorted(MEMBERS[:JOINING], key=lambda m: _signature(state, m))
    if order == [0, 1, 2]:
        return state
    order.append(JOINING)
    names = [order.index(member) for member in MEMBERS]
    renamed = state._replace(
        logs=tuple(state.logs[m] for m in order),
        present=tuple(state.present[m] for m in order),
        roster=tuple(state.roster[m] for m in order),
        primary=names[state.primary],
        outstanding=_mask(state.outstanding, names),
        ordered=_name(state.ordered, names),
        attempt=_attempt(state.attempt, names),
        calls=tuple(sorted((token, names[m]) for token, m in state.calls)),
        instances=tuple(_instance(i, names) for i in state.instances),
    )
    return renamed._replace(instances=tuple(sorted(renamed.instances)))


def _signature(state: State, member: int) -> tuple[object, ...]:
    own = bit(member)
    attempt = state.attempt
    return (
        member != state.primary,
        state.present[member],
        state.logs[member],
        state.outstanding & own > 0,
        state.ordered == member,
        attempt.earlier & own > 0,
        attempt.requested == member,
        attempt.target == member,
        tuple(token for token, called in state.calls if called == member),
        tuple(
            (
                instance.outstanding & own > 0,
                instance.ordered == member,
                instance.member == member,
                instance.remaining > 0 and instance.remaining & own > 0,
            )
            for instance in state.instances
        ),
    )


def _name(member: int, names: list[int]) -> int:
    return names[member] if member >= 0 else member


def _mask(mask: int, names: list[int]) -> int:
    if mask <= 0:
        return mask
    return sum(bit(names[m]) for m in MEMBERS if mask & bit(m))


def _attempt(attempt: Attempt, names: list[int]) -> Attempt:
    return attempt._replace(
        earlier=_mask(attempt.earlier, names),
        requested=_name(attempt.requested, names),
        target=_name(attempt.target, names),
    )


def _instance(instance: Instance, names: list[int]) -> Instance:
    return instance._replace(
        outstanding=_mask(instance.outstanding, names),
        ordered=_name(instance.ordered, names),
        member=_name(instance.member, names),
        remaining=_mask(instance.remaining, names),
    )
