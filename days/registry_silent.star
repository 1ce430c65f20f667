# What this day rehearses is in its title; docs/operating.md tells how to read the result.
title = "the registry is silent for a minute; an exchange leaves meanwhile and comes back, another restarts"
name = "registry_silent"
length = s(100)
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
fleet = fleet(list_from = "registry")
troubles = [
    trouble(kind = "register_silent", at = s(10), lasts = s(60)),
    trouble(kind = "restart", at = s(20), lasts = s(20), exchanges = [1]),
    trouble(kind = "deploy", at = s(50), lasts = s(3), gap = s(1), exchanges = [2]),
]
