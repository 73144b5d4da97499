"""Measured delay of messages between failure domains."""

from typing import NamedTuple

# Delays of this many measurements are kept for each failure domain.
KEPT_MEASUREMENTS = 3
# Fraction of the limit below which crossings no longer count as expensive. Between the
# two the placement stays as it is, as each change moves the connections to other hosts.
EXPENSIVE_END_FRACTION = 0.6


class CrossingDelays(NamedTuple):
    """Delays to the failure domains, the own one included.

    Parameters
    ----------
    recent_s_by_domain : dict
        Newest measured delays in seconds, one way, by failure domain.
    is_expensive : bool
        Whether placement avoids messages between failure domains.
    """

    recent_s_by_domain: dict[str, tuple[float, ...]] = {}
    is_expensive: bool = False


def record_delay(
    delays: CrossingDelays,
    domain: str,
    delay_s: float,
    own_domain: str,
    limit_s: float,
) -> CrossingDelays:
    """Return the delays after a measurement.

    Parameters
    ----------
    delays : CrossingDelays
        Earlier measurements.
    domain : str
        Failure domain of the other end.
    delay_s : float
        Measured delay in seconds, one way.
    own_domain : str
        Failure domain of this instance.
    limit_s : float
        Delay in seconds, beyond that within the own failure domain, from which
        messages to another one are avoided.
    """
    recent = (*delays.recent_s_by_domain.get(domain, ()), delay_s)
    recent_by_domain = {
        **delays.recent_s_by_domain,
        domain: recent[-KEPT_MEASUREMENTS:],
    }
    threshold_s = EXPENSIVE_END_FRACTION * limit_s if delays.is_expensive else limit_s
    measured = CrossingDelays(recent_by_domain, delays.is_expensive)
    extra_s = extra_delay_s_by_domain(measured, own_domain)
    is_expensive = any(delay_s >= threshold_s for delay_s in extra_s.values())
    return measured._replace(is_expensive=is_expensive)


def extra_delay_s_by_domain(
    delays: CrossingDelays, own_domain: str
) -> dict[str, float]:
    """Return the delay to each other failure domain beyond that within the own one.

    The difference leaves out what the processes themselves take. It is not known
    before both are measured. A busy machine only lengthens a measurement, so the
    smallest one counts.
    """
    smallest_s = {
        domain: min(recent) for domain, recent in delays.recent_s_by_domain.items()
    }
    within_s = smallest_s.pop(own_domain, None)
    if within_s is None:
        return {}
    return {
        domain: max(0.0, delay_s - within_s) for domain, delay_s in smallest_s.items()
    }
