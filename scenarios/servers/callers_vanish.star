title = "connections of callers break, and thousands say nothing"
group = "servers"
name = "callers-vanish"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "half_open", at = s(5), factor = 500.0),
    trouble(kind = "callers_vanish", at = s(15), share = draw("share", 0.2, 0.8)),
]
expect = [
    expect(what = "of_bound", least = 0.7),
]
