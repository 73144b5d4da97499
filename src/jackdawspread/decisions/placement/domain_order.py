"""Order in which a statement uses the failure domains."""

from collections.abc import Iterable, Mapping
from math import inf

from xxhash import xxh3_64_intdigest

from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.departure import Departure
from jackdawspread.messages.fleet.member_requirement import MemberRequirement


def order_domains(
    request: ConnectionRequest,
    own_domain: str,
    primary_domain: str,
    domains: Iterable[str],
    delay_s_by_domain: Mapping[str, float],
    delay_step_s: float,
) -> tuple[str, ...]:
    """Return the failure domains whose hosts may serve a request, best first.

    Work for the primary prefers the domain of the primary. A host in the own domain
    would save no message between domains, and the whole fleet shares the connections
    to the primary at few hosts. A read prefers its own domain;
    one that was sent elsewhere may only use the others.

    Parameters
    ----------
    request : ConnectionRequest
        The request.
    own_domain, primary_domain : str
        Failure domains of this instance and of the group's primary, empty if unknown.
    domains : iterable of str
        Failure domains with pool hosts of the group.
    delay_s_by_domain : mapping
        Delay to the other failure domains in seconds, one way.
    delay_step_s : float
        Delays that differ by less count as equal. The workspaces are then spread over
        the domains.
    """
    first = own_domain
    if request.requirement is MemberRequirement.PRIMARY and primary_domain:
        first = primary_domain

    def rank(domain: str) -> tuple[bool, bool, float, int]:
        delay_s = delay_s_by_domain.get(domain, inf)
        steps = delay_s // delay_step_s if delay_s < inf else inf
        spread = xxh3_64_intdigest(f"{request.workspace}\n{domain}".encode())
        return domain != first, domain != own_domain, steps, spread

    leaves = request.departure is Departure.LEAVE
    usable = [domain for domain in domains if not (leaves and domain == own_domain)]
    return tuple(sorted(usable, key=rank))
