"""Loss formulas for one trunk group whose calls take one circuit each.

`n` circuits, `a` erlangs offered.  The recursions only add positive terms, so no precision is lost by
cancellation.  Each function says for which traffic it holds, and raises ValueError for arguments out of
range.  Sources: Erlang 1917; Jagerman, "Some properties of the Erlang loss function", BSTJ 53 (1974); Engset
1918; Iversen, "Teletraffic Engineering and Network Planning" (2015), chapters 4, 5 and 9.
"""

from __future__ import annotations

import math

from scipy import integrate, optimize

MAX_CIRCUITS = 100_000
MAX_LOAD = 1e6  # erlangs
ROOT_TOLERANCE = 1e-13  # relative


def _check_range(n: float, a: float) -> None:
    if not (0 <= n <= MAX_CIRCUITS):
        raise ValueError(f"circuits: found {n}; allowed: 0 to {MAX_CIRCUITS}")
    if not (0 <= a <= MAX_LOAD):
        raise ValueError(f"load: found {a} erlangs; allowed: 0 to {MAX_LOAD:g}")


def erlang_b(n: int, a: float) -> float:
    """Blocking of a full-availability group offered Poisson traffic, blocked calls cleared.

    Sums the inverse 1/B (Jagerman), which grows without cancellation.  Holds for any distribution of holding
    times.
    """
    _check_range(n, a)
    if a == 0:
        return 0.0 if n else 1.0
    inverse = 1.0
    for k in range(1, n + 1):
        inverse = 1.0 + inverse * k / a
        if inverse > 1e300:
            return 0.0
    return 1.0 / inverse


def erlang_b_real(n: float, a: float) -> float:
    """`erlang_b` for a real number of circuits (Fortet): 1/B = a * integral of e^(-at) (1+t)^n over t >= 0.

    Integrates for the fractional part of n and uses the recursion for its whole part, so that the integrand
    stays smooth.
    """
    _check_range(n, a)
    if a == 0:
        return 0.0 if n else 1.0
    whole_part = math.floor(n)
    fraction = n - whole_part
    inverse = 1.0
    if fraction:
        # Substituting u = a t makes the weight e^-u the same for every load.
        integral, _ = integrate.quad(
            lambda u: math.exp(-u) * (1.0 + u / a) ** fraction, 0, math.inf, epsabs=0, epsrel=1e-12, limit=200
        )
        inverse = integral
    for k in range(1, whole_part + 1):
        inverse = 1.0 + inverse * (k + fraction) / a
    return 1.0 / inverse


def load_for(n: float, blocking: float) -> float:
    """The load (erlangs) at which `n` circuits have that blocking.  Requires 0 < blocking < 1 and n > 0."""
    if not 0 < blocking < 1:
        raise ValueError(f"blocking: found {blocking}; allowed: above 0, below 1")
    if n <= 0:
        raise ValueError(f"circuits: found {n}; allowed: above 0")

    def blocking_at(a: float) -> float:
        return erlang_b(int(n), a) if float(n).is_integer() else erlang_b_real(n, a)

    high = max(float(n), 1.0)
    while blocking_at(high) < blocking:
        high *= 2
    low = high
    while blocking_at(low) > blocking:
        low /= 2
    if low == high:
        return high
    return float(
        optimize.brentq(lambda a: blocking_at(a) - blocking, low, high, xtol=1e-300, rtol=ROOT_TOLERANCE)
    )


def circuits_for(a: float, blocking: float) -> int:
    """The fewest circuits whose blocking under `a` erlangs is at most `blocking`."""
    if not 0 < blocking < 1:
        raise ValueError(f"blocking: found {blocking}; allowed: above 0, below 1")
    _check_range(0, a)
    inverse, n = 1.0, 0
    if a == 0:
        return 0
    while 1.0 / inverse > blocking:
        n += 1
        inverse = 1.0 + inverse * n / a
    return n


def circuits_for_real(a: float, blocking: float) -> float:
    """`circuits_for` as a real number, which Wilkinson's and Rapp's methods need."""
    upper = circuits_for(a, blocking)
    if upper == 0:
        return 0.0
    return float(optimize.brentq(lambda n: erlang_b_real(n, a) - blocking, upper - 1, upper, xtol=1e-12))


def engset(n: int, sources: int, idle_load: float) -> tuple[float, float]:
    """Time and call congestion of `sources` sources that each offer `idle_load` erlangs while idle.

    The call congestion is the time congestion of one source fewer.  It is 0 if there are no
    more sources than circuits.
    """
    if sources < 0 or idle_load < 0:
        raise ValueError(f"found {sources} sources of {idle_load} erlangs; allowed: not below 0")

    def time_congestion(source_count: int) -> float:
        if source_count < n:
            return 0.0
        inverse = 1.0
        for k in range(1, n + 1):
            if idle_load == 0:
                return 0.0
            inverse = 1.0 + inverse * k / ((source_count - k + 1) * idle_load)
        return 1.0 / inverse

    return time_congestion(sources), time_congestion(max(sources - 1, 0)) if sources > n else 0.0


def extended_b(n: int, a: float, redial_probability: float) -> tuple[float, float]:
    """Blocking per try and total load, where a blocked try is redialled with `redial_probability` r.

    Solves a' = a / (1 - r B(n, a')).  Redials are taken as independent Poisson traffic, which holds if they
    come long after the blocked try (Cohen 1957; Bellamy).  The root is bracketed, since plain iteration
    converges very slowly near r B = 1.
    """
    if not 0 <= redial_probability < 1:
        raise ValueError(f"redials: found {redial_probability}; allowed: 0 up to below 1")
    if a == 0:
        return erlang_b(n, 0.0), 0.0
    low, high = a, a / (1.0 - redial_probability)
    if erlang_b(n, low) * redial_probability == 0:
        return erlang_b(n, low), low

    def excess(total: float) -> float:
        return total * (1.0 - redial_probability * erlang_b(n, total)) - a

    if excess(low) >= 0:
        return erlang_b(n, low), low
    total = (
        high
        if excess(high) <= 0
        else float(optimize.brentq(excess, low, high, xtol=1e-300, rtol=ROOT_TOLERANCE))
    )
    return erlang_b(n, total), total


def first_try_load(n: int, total_load: float, redial_probability: float) -> float:
    """The load of first tries in a total load that includes redials: the inverse of `extended_b`."""
    return total_load * (1.0 - redial_probability * erlang_b(n, total_load))
