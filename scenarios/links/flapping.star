title = "connections break again and again"
group = "links"
name = "flapping"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "link_reset", at = s(8), exchanges = [1, 2]),
    trouble(kind = "link_reset", at = s(9), exchanges = [1]),
    trouble(kind = "link_reset", at = s(12), exchanges = [1, 3]),
    trouble(kind = "link_reset", at = s(20), exchanges = [1, 2, 3, 4, 5]),
]
expect = [
    expect(what = "of_bound", least = 0.6),
]
