import pytest

from ravenshelf.rules import solve_spill

FLAT = [(10.0, 0.0), (20.0, 1.0)]
EVEN = [[1.0] * 3 for _ in range(3)]


@pytest.mark.parametrize("demand, capacity, curves, sends", [
    ([5, 5, 5], [1, 1, 1], [FLAT] * 3, [0, 0, 0]),
    ([14, 5, 5], [1, 1, 1], [FLAT] * 3, [1, 0, 0]),
    ([14, 14, 2], [1, 1, 1], [FLAT] * 3, [1, 1, 0]),
    ([19, 18, 17], [1, 1, 1], [FLAT] * 3, None),
    ([5, 5, 5], [0, 1, 1], [FLAT] * 3, [1, 0, 0]),
    ([19, 5, 5], [1, 1, 1], [None] * 3, [0, 0, 0]),
], ids=["nothing", "one short", "several short", "infeasible", "no servers", "no data"])
def test_solve_spill(demand, capacity, curves, sends):
    share = solve_spill(demand, capacity, curves, EVEN)
    out = [1 - share[i][i] > 1e-9 for i in range(3)]
    for i in range(3):
        assert sum(share[i]) == pytest.approx(1)
        assert not (out[i] and any(share[j][i] > 1e-9 for j in range(3) if j != i))
    if sends is not None:
        assert out == [bool(s) for s in sends]
