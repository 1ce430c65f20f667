# What this day rehearses is in its title; docs/operating.md tells how to read the result.
title = "two processors need six times as long, one link grows long"
name = "slow"
length = s(40)
classes = [
    call_class(name = "single-record", aim = s(1.2), give_up = s(9), mean_hold = s(6), worth = 1.0, late_share = 0.25),
    call_class(name = "multi-leg-call", aim = s(2), give_up = s(9), mean_hold = s(6), worth = 3.0, width = 3, late_share = 0.25),
    call_class(name = "account-summary", aim = s(2), give_up = s(9), mean_hold = s(5), worth = 2.0, late_share = 0.25),
]
traffic = traffic(rate = 20.0, shares = [0.71, 0.09, 0.20], transit = 4.0, incoming = 4.0)
rules = rules(
    attempts = 6, longest_pause = s(2), probes = True,
    cold = cold(multiple = 4.0, window = s(2), share = 0.31, time = s(14)),
)
troubles = [
    trouble(kind = "slow", at = s(8), lasts = s(12), exchanges = [1, 3], factor = 12.0),
    trouble(kind = "delay", at = s(26), lasts = s(8), exchanges = [5], factor = 150.0),
]
