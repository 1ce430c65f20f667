# What this day rehearses is in its title; docs/operating.md tells how to read the result.
title = "two processors take set-ups and answer none, one of them not even a 100"
name = "hang"
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
    trouble(kind = "hang", at = s(8), lasts = s(10), exchanges = [2]),
    trouble(kind = "mute", at = s(24), lasts = s(8), exchanges = [4]),
]
