title = "nothing goes wrong"
group = "traffic"
name = "calm"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
expect = [
    expect(what = "service", least = 0.9),
    expect(what = "of_bound", least = 0.9),
]
