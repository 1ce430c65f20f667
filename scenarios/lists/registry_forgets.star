title = "one peer of the registry forgets and goes back while exchanges are replaced"
group = "lists"
name = "registry-forgets"
length = s(60)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(list_from = "registry")
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "registry_lie", at = s(5), lasts = s(30), lie = pick("lie", ["empty", "drops_living", "goes_back"]), exchanges = [1, 2], peers = [0]),
    trouble(kind = "restart", at = s(12), lasts = s(2), exchanges = [3]),
]
expect = [
    expect(what = "of_bound", least = 0.6),
]
