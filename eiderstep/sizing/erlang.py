"""The loss formulas of one group with calls of one circuit.

`n` circuits, `a` erlangs offered.  Recursions are those that only add positive terms: no digit is lost.
Each function says where it holds.  Sources: Erlang 1917; Jagerman, "Some properties of the Erlang loss
function", BSTJ 53 (1974); Engset 1918; Iversen, "Teletraffic Engineering and Network Planning" (2015),
chapters 4, 5 and 9.
"""

from __future__ import annotations

import math

from scipy import integrate, optimize

CIRCUITS_LIMIT = 100_000
LOAD_LIMIT = 1e6
TIGHT = 1e-13


def _checked(n: float, a: float) -> None:
    if not (0 <= n <= CIRCUITS_LIMIT):
        raise ValueError(f"circuits: found {n}; allowed: 0 to {CIRCUITS_LIMIT}")
    if not (0 <= a <= LOAD_LIMIT):
        raise ValueError(f"load: found {a} erlangs; allowed: 0 to {LOAD_LIMIT:g}")


def erlang_b(n: int, a: float) -> float:
    """Blocking of a full-availability group offered Poisson traffic, blocked calls cleared.

    The inverse 1/B is summed (Jagerman): it grows without cancelling.  Holds for any holding time.
    """
    _checked(n, a)
    if a == 0:
        return 0.0 if n else 1.0
    inverse = 1.0
    for k in range(1, n + 1):
        inverse = 1.0 + inverse * k / a
        if inverse > 1e300:
            return 0.0
    return 1.0 / inverse


def erlang_b_real(n: float, a: float) -> float:
    """The same for a real number of circuits (Fortet): 1/B = a * integral of e^(-at) (1+t)^n over t >= 0.

    The fraction is integrated and the whole part recursed, so that the integrand stays smooth.
    """
    _checked(n, a)
    if a == 0:
        return 0.0 if n else 1.0
    whole = math.floor(n)
    part = n - whole
    inverse = 1.0
    if part:
        # With u = a t the weight e^-u is that of the quadrature whatever the load.
        value, _ = integrate.quad(
            lambda u: math.exp(-u) * (1.0 + u / a) ** part, 0, math.inf, epsabs=0, epsrel=1e-12, limit=200
        )
        inverse = value
    for k in range(1, whole + 1):
        inverse = 1.0 + inverse * (k + part) / a
    return 1.0 / inverse


def load_for(n: float, blocking: float) -> float:
    """The load at which `n` circuits block that share.  0 < blocking < 1; n > 0."""
    if not 0 < blocking < 1:
        raise ValueError(f"blocking: found {blocking}; allowed: above 0, below 1")
    if n <= 0:
        raise ValueError(f"circuits: found {n}; allowed: above 0")

    def loss(a: float) -> float:
        return erlang_b(int(n), a) if float(n).is_integer() else erlang_b_real(n, a)

    high = max(float(n), 1.0)
    while loss(high) < blocking:
        high *= 2
    low = high
    while loss(low) > blocking:
        low /= 2
    if low == high:
        return high
    return float(optimize.brentq(lambda a: loss(a) - blocking, low, high, xtol=1e-300, rtol=TIGHT))


def circuits_for(a: float, blocking: float) -> int:
    """The fewest circuits that block at most that share of `a` erlangs."""
    if not 0 < blocking < 1:
        raise ValueError(f"blocking: found {blocking}; allowed: above 0, below 1")
    _checked(0, a)
    inverse, n = 1.0, 0
    if a == 0:
        return 0
    while 1.0 / inverse > blocking:
        n += 1
        inverse = 1.0 + inverse * n / a
    return n


def circuits_for_real(a: float, blocking: float) -> float:
    """The same as a real number; what Wilkinson's and Rapp's methods need."""
    above = circuits_for(a, blocking)
    if above == 0:
        return 0.0
    return float(optimize.brentq(lambda n: erlang_b_real(n, a) - blocking, above - 1, above, xtol=1e-12))


def engset(n: int, sources: int, each: float) -> tuple[float, float]:
    """Time and call congestion of `sources` sources that each offer `each` erlangs while idle.

    Call congestion is that of one source fewer.  No more sources than circuits: none is ever blocked.
    """
    if sources < 0 or each < 0:
        raise ValueError(f"found {sources} sources of {each} erlangs; allowed: not below 0")

    def time_congestion(count: int) -> float:
        if count < n:
            return 0.0
        inverse = 1.0
        for k in range(1, n + 1):
            if each == 0:
                return 0.0
            inverse = 1.0 + inverse * k / ((count - k + 1) * each)
        return 1.0 / inverse

    return time_congestion(sources), time_congestion(max(sources - 1, 0)) if sources > n else 0.0


def extended_b(n: int, a: float, redials: float) -> tuple[float, float]:
    """Blocking per try and the load with redials, where a blocked try is repeated with that probability.

    The fixed point of a' = a / (1 - r B(n, a')): redials are taken as fresh Poisson traffic, which holds
    while they come long after (Cohen 1957; Bellamy).  Bracketed: plain iteration creeps near r B = 1.
    """
    if not 0 <= redials < 1:
        raise ValueError(f"redials: found {redials}; allowed: 0 up to below 1")
    if a == 0:
        return erlang_b(n, 0.0), 0.0
    low, high = a, a / (1.0 - redials)
    if erlang_b(n, low) * redials == 0:
        return erlang_b(n, low), low

    def over(total: float) -> float:
        return total * (1.0 - redials * erlang_b(n, total)) - a

    if over(low) >= 0:
        return erlang_b(n, low), low
    total = high if over(high) <= 0 else float(optimize.brentq(over, low, high, xtol=1e-300, rtol=TIGHT))
    return erlang_b(n, total), total


def first_tries(n: int, tries: float, redials: float) -> float:
    """The load of first tries behind a load of tries: the inverse of `extended_b`."""
    return tries * (1.0 - redials * erlang_b(n, tries))
