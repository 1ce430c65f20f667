# What this day rehearses is in its title; docs/operating.md tells how to read the result.
title = "a Eureka registry tells one lie after another while exchanges restart"
name = "registry_lies"
length = s(124)
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
    trouble(kind = "registry_lie", at = s(4), lasts = s(8), lie = "drops_living", exchanges = [3], peers = []),
    trouble(kind = "registry_lie", at = s(13), lasts = s(8), lie = "half_answer", exchanges = [], peers = []),
    trouble(kind = "registry_lie", at = s(22), lasts = s(8), lie = "html", exchanges = [], peers = []),
    trouble(kind = "registry_lie", at = s(31), lasts = s(8), lie = "html_as_json", exchanges = [], peers = [0]),
    trouble(kind = "registry_lie", at = s(40), lasts = s(8), lie = "drip", exchanges = [], peers = [1]),
    trouble(kind = "registry_lie", at = s(49), lasts = s(8), lie = "wrong_hash", exchanges = [], peers = []),
    trouble(kind = "registry_lie", at = s(58), lasts = s(8), lie = "goes_back", exchanges = [], peers = []),
    trouble(kind = "registry_lie", at = s(67), lasts = s(8), lie = "storm", exchanges = [], peers = []),
    trouble(kind = "registry_lie", at = s(76), lasts = s(8), lie = "lists_gone", exchanges = [], peers = [0]),
    trouble(kind = "registry_lie", at = s(85), lasts = s(8), lie = "empty", exchanges = [], peers = []),
    trouble(kind = "registry_lie", at = s(94), lasts = s(8), lie = "refuse", exchanges = [], peers = [0]),
    trouble(kind = "registry_lie", at = s(103), lasts = s(8), lie = "unnamed", exchanges = [4], peers = []),
    trouble(kind = "registry_lie", at = s(112), lie = "restart"),
    trouble(kind = "restart", at = s(6), lasts = s(4), exchanges = [1]),
    trouble(kind = "restart", at = s(15), lasts = s(4), exchanges = [2]),
    trouble(kind = "restart", at = s(24), lasts = s(4), exchanges = [5]),
    trouble(kind = "restart", at = s(42), lasts = s(4), exchanges = [1]),
    trouble(kind = "restart", at = s(60), lasts = s(4), exchanges = [2]),
    trouble(kind = "restart", at = s(69), lasts = s(4), exchanges = [5]),
    trouble(kind = "restart", at = s(78), lasts = s(4), exchanges = [1]),
    trouble(kind = "restart", at = s(87), lasts = s(4), exchanges = [2]),
    trouble(kind = "restart", at = s(100), lasts = s(4), exchanges = [4]),
]
