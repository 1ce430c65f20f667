# What this day rehearses is in its title; docs/operating.md tells how to read the result.
title = "a restart of a district, slow processors, lost answers and a burst, one on top of the other"
name = "bad-day"
length = s(60)
classes = [
    call_class(name = "single-record", aim = s(1.2), give_up = s(9), mean_hold = s(6), worth = 1.0, late_share = 0.25),
    call_class(name = "multi-leg-call", aim = s(2), give_up = s(9), mean_hold = s(6), worth = 3.0, width = 3, late_share = 0.25),
    call_class(name = "account-summary", aim = s(2), give_up = s(9), mean_hold = s(5), worth = 2.0, late_share = 0.25),
]
traffic = traffic(rate = 18.0, shares = [0.71, 0.09, 0.20], transit = 4.0, incoming = 4.0)
rules = rules(
    attempts = 6, longest_pause = s(2), probes = True,
    cold = cold(multiple = 4.0, window = s(2), share = 0.31, time = s(14)),
)
troubles = [
    trouble(kind = "slow", at = s(8), lasts = s(20), exchanges = [1], factor = 8.0),
    trouble(kind = "burst", at = s(12), lasts = s(10), factor = 1.8),
    trouble(kind = "restart", at = s(16), lasts = s(3), exchanges = [2, 5]),
    trouble(kind = "answers_lost", at = s(18), lasts = s(14), exchanges = [3], share = 0.3),
    trouble(kind = "district_cut", at = s(36), lasts = s(7), exchanges = [1, 4]),
    trouble(kind = "mass_cut", at = s(50), share = 0.5),
]
