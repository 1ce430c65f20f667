title = "as hang, and not even a 100 comes"
group = "processors"
name = "mute"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "mute", at = s(10), lasts = s(draw("lasts", 5, 20)), exchanges = lots("where", 1, 5)),
]
expect = [
    expect(what = "of_bound", least = 0.75),
    expect(what = "recovery_s", most = 20),
]
