title = "a calm day: six exchanges in three districts"
name = "calm"
length = s(30)
classes = [
    call_class(name = "single-record", aim = s(1.2), give_up = s(9), mean_hold = s(6), worth = 1.0, late_share = 0.25),
    call_class(name = "multi-leg-call", aim = s(2), give_up = s(9), mean_hold = s(6), worth = 3.0, width = 3, late_share = 0.25),
    call_class(name = "account-summary", aim = s(2), give_up = s(9), mean_hold = s(5), worth = 2.0, late_share = 0.25),
]
traffic = traffic(rate = 15.0, shares = [0.71, 0.09, 0.20], transit = 4.0, incoming = 4.0)
