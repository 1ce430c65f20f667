title = "the call servers do not run for a while"
group = "servers"
name = "stall"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "stall", at = s(12), lasts = s(draw("lasts", 0.5, 3))),
]
expect = [
    expect(what = "of_bound", least = 0.6),
]
