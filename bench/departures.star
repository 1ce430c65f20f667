# 240 departures over sockets: half drain first, half go at once; each comes back cold under the old number.
title = "exchanges leave under load, 240 times in 100 seconds"
name = "departures"
length = s(104)
classes = [
    call_class(name = "single-record", aim = s(1.2), give_up = s(9), mean_hold = s(3), worth = 1.0, late_share = 0.25),
    call_class(name = "multi-leg-call", aim = s(2), give_up = s(9), mean_hold = s(3), worth = 3.0, width = 3, late_share = 0.25),
]
traffic = traffic(rate = 80.0, shares = [0.9, 0.1])
rules = rules(
    attempts = 6, longest_pause = s(2), probes = True,
    cold = cold(multiple = 4.0, window = s(2), share = 0.31, time = s(4)),
)
fleet = fleet(count = 21, list_from = "registry", poll = s(0.5), register_lag = s(0.6))
troubles = [
    trouble(
        kind = "deploy" if n % 2 else "restart", at = s(3 + 8 * k + 0.37 * n),
        lasts = s(1.5 if n % 2 else 2.5), gap = s(1.5), exchanges = [n],
    )
    for k in range(12)
    for n in range(1, 21)
]
