# What this day rehearses is in its title; docs/operating.md tells how to read the result.
title = "the list from a Eureka registry: a deploy, a restart, an exchange that dies without a word"
name = "registry_calm"
length = s(60)
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
    trouble(kind = "deploy", at = s(6), lasts = s(3), gap = s(1), exchanges = [1, 2, 3]),
    trouble(kind = "restart", at = s(30), lasts = s(2), exchanges = [4]),
    trouble(kind = "stale", at = s(36), lasts = s(18), exchanges = [5]),
]
