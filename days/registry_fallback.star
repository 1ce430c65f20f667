# What this day rehearses is in its title; docs/operating.md tells how to read the result.
title = "two lists: the Eureka registry falls silent, the register takes over, and hands back"
name = "registry_fallback"
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
fleet = fleet(list_from = "both", form = "xml", skew = -30.0)
troubles = [
    trouble(kind = "register_silent", at = s(10), lasts = s(25), peers = [0, 1]),
    trouble(kind = "restart", at = s(5), lasts = s(2), exchanges = [1]),
    trouble(kind = "restart", at = s(22), lasts = s(3), exchanges = [2]),
    trouble(kind = "deploy", at = s(42), lasts = s(3), gap = s(1), exchanges = [3]),
]
