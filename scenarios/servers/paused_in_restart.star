title = "one call server of three is paused in the middle of a restart"
group = "servers"
name = "paused-in-restart"
servers = 3
length = s(55)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "restart", at = s(12), lasts = s(3), exchanges = [4, 5]),
    trouble(kind = "server_pause", at = s(draw("at", 11.5, 16)), lasts = s(draw("lasts", 1, 4)), exchanges = [1]),
]
expect = [
    expect(what = "of_bound", least = 0.55),
]
