# What this day rehearses is in its title; docs/operating.md tells how to read the result.
title = "strangers, callers and proven exchanges that lie send a thousand attacks a second beside a hang"
name = "strangers"
length = s(40)
classes = [
    call_class(name = "single-record", aim = s(1.2), give_up = s(9), mean_hold = s(6), worth = 1.0, late_share = 0.25),
    call_class(name = "multi-leg-call", aim = s(2), give_up = s(9), mean_hold = s(6), worth = 3.0, width = 3, late_share = 0.25),
    call_class(name = "account-summary", aim = s(2), give_up = s(9), mean_hold = s(5), worth = 2.0, late_share = 0.25),
]
traffic = traffic(rate = 15.0, shares = [0.71, 0.09, 0.20], transit = 4.0, incoming = 4.0)
rules = rules(
    attempts = 6, longest_pause = s(2), probes = True,
    cold = cold(multiple = 4.0, window = s(2), share = 0.31, time = s(14)),
)
troubles = [
    trouble(kind = "strangers", at = s(5), lasts = s(25), factor = 1000.0),
    trouble(kind = "hang", at = s(12), lasts = s(6), exchanges = [2]),
]
