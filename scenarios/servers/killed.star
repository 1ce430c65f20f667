title = "call servers die with all that they hold, and start cold"
group = "servers"
name = "killed"
servers = 3
length = s(55)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "restart", at = s(12), lasts = s(draw("lasts", 1, 4)), exchanges = [0, 1]),
]
expect = [
    expect(what = "of_bound", least = 0.5),
]
