title = "groups lose most of their circuits"
group = "links"
name = "circuits-lost"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "circuits_lost", at = s(10), lasts = s(draw("lasts", 5, 20)), exchanges = lots("where", draw("many", 1, 3), 5), share = draw("kept", 0.2, 0.7)),
]
expect = [
    expect(what = "of_bound", least = 0.7),
    expect(what = "recovery_s", most = 20),
]
