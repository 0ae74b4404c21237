"""The decisions: a plain model of the rules beside the module, and a small test for each failure found."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from meadowworks.policy.interface import AttemptReport
from meadowworks.policy.state import EJECTION_WEIGHTS
from meadowworks.policy.weights import MIN_BACKENDS
from tests.policy.harness import ROUTES, SECOND, SETTINGS, Fleet, entry, started

STEP = st.one_of(
    st.tuples(st.just("join"), st.integers(0, 5), st.integers(0, 1)),
    st.tuples(st.just("leave"), st.integers(0, 5)),
    st.tuples(st.just("list"), st.integers(0, 5), st.sampled_from(["ready", "draining", "gone", "start"])),
    st.tuples(st.just("error")),
    st.tuples(st.just("report"), st.lists(st.floats(0, 1), min_size=6, max_size=6), st.integers(1, 30)),
    st.tuples(st.just("wait"), st.integers(1, 12)),
)


@settings(derandomize=True, database=None, deadline=None, max_examples=80)
@given(st.lists(STEP, max_size=40))
def test_the_module_keeps_to_what_the_plain_model_allows(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    fleet = started()
    state = {b: ("ready", 0) for b in range(6)}
    for step in steps:
        if step[0] == "join" and step[1] not in fleet.bound:
            fleet.join(step[1], step[2], {0, 1})
        elif step[0] == "leave":
            fleet.leave(step[1])
        elif step[0] == "list":
            since = fleet.now if step[2] == "start" else state[step[1]][1]
            state[step[1]] = ("ready" if step[2] == "start" else step[2], since)
            fleet.module.on_endpoints(fleet.now, "changes", [entry(step[1], step[1] % 2, *state[step[1]])])
        elif step[0] == "error":
            fleet.module.on_endpoints(fleet.now, "error", [])
        elif step[0] == "report":
            fleet.report(dict(enumerate(step[1])), step[2] * SECOND // 10)
        elif step[0] == "wait":
            fleet.run(step[1] / 2)
        assert fleet.backlog(0.5) <= SETTINGS.queue_limit
        for sent in fleet.heads.values():
            assert sum(t > fleet.now - SETTINGS.message_window_ns for t in sent) <= SETTINGS.message_limit
        assert all(0 <= level <= 1 and retry <= 1 for level, retry in fleet.levels.values())
    fleet.run(2)  # within the grace and the limit of the first rule everything must be in order
    ready = {b for b, (how, _) in state.items() if how == "ready"}
    warm = {b for b in ready if fleet.now - state[b][1] >= SETTINGS.slow_start_ns}
    for proxy in fleet.bound:
        for route in range(len(SETTINGS.routes)):
            open_to = fleet.pick(proxy, route) or fleet.held.get(proxy, set())
            assert open_to or not warm
            assert open_to <= ready or proxy in fleet.held and not ready


def test_a_fresh_controller_binds_at_once_and_follows_the_list() -> None:
    fleet = Fleet()
    fleet.module.on_endpoints(fleet.now, "disk", [entry(0, 0), entry(1, 1)])
    fleet.join(0, 0)
    assert fleet.tracks == [fleet.now] and fleet.pick(0, 0) == {0}
    fleet.module.on_endpoints(fleet.now, "whole", [entry(1, 1)])
    assert fleet.pick(0, 0) == {1}  # a zone without a live server has a table of all
    fleet.run(1)
    fleet.module.on_endpoints(fleet.now, "changes", [entry(2, 0)])
    fleet.run(2)
    assert fleet.pick(0, 0) == {2}


def test_a_draining_backend_leaves_every_table_at_once() -> None:
    fleet = started()
    fleet.module.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining")])
    assert 0 not in fleet.pick(0, 0) and {2, 4} <= fleet.pick(0, 0)


def test_a_list_that_fails_is_asked_for_again_in_time() -> None:
    fleet = started()
    for _ in range(6):
        fleet.module.on_endpoints(fleet.now, "error", [])
        failed = fleet.now
        fleet.run(6)
        assert 0 < fleet.tracks[-1] - failed <= SETTINGS.list_refresh_ns * 0.65


def test_a_new_server_enters_at_a_tenth_and_rises() -> None:
    fleet = started()
    fleet.module.on_endpoints(fleet.now, "changes", [entry(6, 0, since=fleet.now)])
    fleet.run(1)
    first = fleet.tables[0][6]
    fleet.run(30)
    assert abs(first - 0.2) < 1e-6 and fleet.tables[0][6] == 2.0


def test_a_backend_that_drops_its_tries_keeps_a_trace_and_climbs_back() -> None:
    fleet = started()
    for _ in range(4):
        fleet.report({2: 0.9})
        fleet.run(1)
    assert fleet.tables[0][2] == 2.0 * EJECTION_WEIGHTS[-1]
    fleet.run(11)
    assert 2.0 * EJECTION_WEIGHTS[-1] < fleet.tables[0][2] < 2.0
    fleet.run(30)
    assert fleet.tables[0][2] == 2.0


def test_a_full_backend_is_eased_and_one_with_an_empty_queue_is_not_called_slow() -> None:
    for queue in (9.0, 0.0):
        fleet = started()
        for _ in range(4):
            for b in range(6):
                late = 3 * SECOND if b == 2 else SECOND // 10
                fleet.module.on_backend_report(
                    fleet.now, b % 2, b, AttemptReport(20, 0, late, SECOND // 2, {"queue": queue})
                )
            fleet.run(1)
        assert (fleet.tables[0][2] < 2.0) == (queue > 0)


def test_if_all_are_ill_none_is() -> None:
    fleet = started()
    for _ in range(6):
        fleet.report({b: 0.9 for b in range(6)})
        fleet.run(0.5)
    assert set(fleet.tables[0].values()) == {2.0}


def test_a_zone_that_loses_servers_sends_the_excess_abroad_and_no_more() -> None:
    fleet = started()
    fleet.module.on_endpoints(fleet.now, "changes", [entry(b, b % 2, "gone") for b in (2, 4)])
    fleet.run(2)
    abroad = sum(w for b, w in fleet.tables[0].items() if b % 2)
    assert 0.4 < abroad / sum(fleet.tables[0].values()) < 0.6  # a quarter of the room, half the calls
    assert set(fleet.tables[1]) == {1, 3, 5}


def test_a_jammed_zone_names_no_cold_server() -> None:
    fleet = started()
    for _ in range(3):
        fleet.report({b: 0.5 for b in range(6)})
        fleet.run(0.5)
    fleet.module.on_endpoints(fleet.now, "changes", [entry(6, 0, since=fleet.now)])
    fleet.run(1)
    assert 6 not in fleet.tables[0]


def test_a_fresh_controller_names_no_cold_server_before_it_has_heard() -> None:
    fleet = Fleet()
    fleet.module.on_endpoints(
        fleet.now, "disk", [entry(0, 0), entry(1, 1), entry(2, 0, since=fleet.now - SECOND)]
    )
    fleet.join(0, 0)
    assert 2 not in fleet.pick(0, 0)
    fleet.run(8)
    assert 2 in fleet.pick(0, 0)


def test_a_table_with_a_cold_server_has_warm_ones_abroad() -> None:
    fleet = started()
    assert set(fleet.tables[0]) == {0, 2, 4}
    fleet.module.on_endpoints(fleet.now, "changes", [entry(6, 0, since=fleet.now)])
    fleet.run(2)
    abroad = sum(w for b, w in fleet.tables[0].items() if b % 2)
    assert 0 < abroad <= 0.25 * sum(fleet.tables[0].values()) and abroad >= fleet.tables[0][6]


def test_a_zone_whose_first_server_is_back_cold_does_not_turn_to_it_with_all_calls() -> None:
    fleet = started()
    fleet.module.on_endpoints(fleet.now, "changes", [entry(b, b % 2, "gone") for b in (0, 2, 4)])
    fleet.run(3)
    fleet.module.on_endpoints(fleet.now, "changes", [entry(0, 0, since=fleet.now)])
    fleet.run(2)
    assert fleet.tables[0][0] < 0.2 * sum(fleet.tables[0].values())


def test_levels_reach_a_zone_whose_table_changes_every_second() -> None:
    fleet = started()
    for k in range(12):
        fleet.ask(100)
        fleet.report({}, latency=(4 if k else 1) * SECOND)
        fleet.module.on_endpoints(fleet.now, "changes", [entry(0, 0, weight=2.0 + k % 2)])
        fleet.run(1)
    assert fleet.levels[0, 1][0] < 1.0 and fleet.levels[0, 1][0] <= fleet.levels[0, 0][0]


def test_a_slice_gets_a_ready_backend_and_an_owner_is_followed_only_after_its_writes() -> None:
    for exclusive in (False, True):
        fleet = Fleet(replace(SETTINGS, slice_count=4, exclusive_slices=exclusive))
        fleet.module.on_endpoints(fleet.now, "disk", [entry(0, 0), entry(1, 1)])
        fleet.module.on_slice_assigned(fleet.now, 2, True)
        fleet.module.on_slice_backend(fleet.now, 2, 0, 1.0)
        fleet.module.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining")])
        fleet.run(1)
        if exclusive:
            assert 2 not in fleet.tables and {fleet.levels[2, k][0] for k in range(3)} == {0.0}
            fleet.run(5)
            assert {fleet.levels[2, k][0] for k in range(3)} == {1.0}
        assert fleet.tables[2][1] == 1.0


def test_a_route_confined_to_its_zone_has_a_table_never_filled_from_outside() -> None:
    confined = (replace(ROUTES[0], own_zone_only=True), *ROUTES[1:])
    fleet = started(replace(SETTINGS, routes=confined))
    fleet.module.on_endpoints(fleet.now, "changes", [entry(b, 0, "gone") for b in (0, 2)])
    fleet.run(2)
    assert fleet.pick(0, 0) == {4} and fleet.pick(0, 1) >= {1, 3, 4, 5}


def test_levels_are_rates_where_the_site_says_so() -> None:
    fleet = started(replace(SETTINGS, admission_unit="rate"))
    for k in range(8):
        fleet.ask(100)
        fleet.report({}, latency=(4 if k else 1) * SECOND)
        fleet.run(1)
    assert 1.0 < fleet.levels[0, 1][0] < 100.0


def test_a_controller_that_stands_still_names_no_cold_server_for_a_while() -> None:
    fleet = started()
    fleet.now += 2 * SECOND
    fleet.run(0.25)
    fleet.module.on_endpoints(fleet.now, "changes", [entry(6, 0, since=fleet.now)])
    fleet.run(2)
    assert 6 not in fleet.tables[0]
    fleet.run(5)
    assert 6 in fleet.tables[0]


def test_a_full_server_is_judged_by_its_latency_and_not_by_what_it_turns_away() -> None:
    for queue, eased in ((9.0, False), (0.0, True)):
        fleet = started()
        for _ in range(4):
            for b in range(6):
                bad = 8 if b == 2 else 0
                fleet.module.on_backend_report(
                    fleet.now, b % 2, b, AttemptReport(20, bad, SECOND // 10, SECOND // 2, {"queue": queue})
                )
            fleet.run(1)
        assert (fleet.tables[0][2] < 2.0) == eased


def test_uneven_calls_alone_send_none_abroad() -> None:
    for late in (False, True):
        fleet = started()
        for k in range(5):
            for p in fleet.bound:
                fleet.module.on_demand_report(fleet.now, p, 0, 10 if p % 2 else 100, SECOND)
            fleet.report({}, latency=3 * SECOND if late and k else SECOND // 10)
            fleet.run(1)
        assert (set(fleet.tables[0]) == {0, 2, 4}) != late


def test_an_order_larger_than_the_channel_goes_in_parts_and_what_must_leave_goes_first() -> None:
    fleet = started(per_zone=30, proxies=80)
    fleet.run(8)
    assert all(len(fleet.pick(p, 0)) == 30 for p in fleet.bound)
    fleet.module.on_endpoints(fleet.now, "changes", [entry(b, 0, "draining") for b in range(0, 50, 2)])
    assert not fleet.pick(0, 0) & set(range(0, 50, 2))
    start = fleet.now
    for _ in range(60):
        fleet.run(0.5)
        assert fleet.backlog(0.5) <= SETTINGS.queue_limit
    heads = sum(n for when, n in fleet.lines if when > start and n == SETTINGS.message_overhead)
    assert sum(n for when, n in fleet.lines if when > start) >= 2 * heads  # no trickle that is mostly heads
    assert len(fleet.pick(0, 0)) == 35  # the excess goes abroad, to as many as there are


def test_what_a_list_calls_gone_stays_while_it_answers_where_only_draining_binds() -> None:
    for probes in (True, False):
        fleet = started(replace(SETTINGS, removals_uncertain=True, health_checks=probes))
        whole = [entry(4, 0, "draining"), *(entry(b, b % 2) for b in (1, 3, 5))]
        fleet.module.on_endpoints(fleet.now, "whole", whole)
        fleet.module.on_endpoints(fleet.now, "changes", [entry(9, 0, "gone")])
        assert fleet.pick(0, 0) >= {0, 2} and not fleet.pick(0, 0) & {4, 9}
        assert set(fleet.probes) == ({0, 2} if probes else set())
        if probes:
            fleet.module.on_health_check(fleet.now, 0, True)
            fleet.module.on_health_check(fleet.now, 2, False)
        for _ in range(8):
            fleet.report({2: 1.0})
            fleet.run(0.5)
        assert 0 in fleet.pick(0, 0) and 2 not in fleet.pick(0, 0)
        fleet.module.on_endpoints(fleet.now, "changes", [entry(2, 0), entry(0, 0)])
        fleet.run(2)
        assert {0, 2} <= fleet.pick(0, 0)


def test_a_full_server_loses_one_rung_at_a_time_however_much_it_drops() -> None:
    fleet = started()
    for _ in range(2):
        for b in range(6):
            bad, late = (14, 3 * SECOND) if b == 2 else (0, SECOND // 10)
            fleet.module.on_backend_report(
                fleet.now, b % 2, b, AttemptReport(20, bad, late, SECOND // 2, {"queue": 9.0 * (b == 2)})
            )
        fleet.run(1)
    assert fleet.tables[0][2] == 2.0 * EJECTION_WEIGHTS[1]


def test_no_calls_go_along_a_poor_way_while_the_far_servers_are_idle() -> None:
    for queue in (0.0, 9.0):
        fleet = started()
        fleet.module.on_endpoints(fleet.now, "changes", [entry(b, b % 2, "gone") for b in (2, 4)])
        fleet.run(2)
        for _ in range(6):
            for b in (1, 3, 5, 0):
                bad, load = 5 * (b > 0), {"queue": queue}
                fleet.module.on_backend_report(
                    fleet.now, 0, b, AttemptReport(20, bad, SECOND // 10, SECOND // 2, load)
                )
            fleet.run(1)
        assert (fleet.pick(0, 0) == {0}) == (queue == 0.0)


def test_one_zones_jam_neither_throttles_a_calm_zone_nor_is_fed_by_it() -> None:
    fleet = started()
    for k in range(10):
        fleet.ask(100)
        for b in range(6):
            bad, late = (16, 2 * SECOND) if b % 2 and k else (0, SECOND // 10)
            fleet.module.on_backend_report(
                fleet.now, b % 2, b, AttemptReport(100, 5 * bad, late, SECOND // 2, {})
            )
        fleet.run(1)
    assert fleet.levels[1, 0][0] < fleet.levels.get((0, 0), (1.0, 1))[0]


def test_drains_take_no_ordinary_lines_with_them_past_the_usual_room_so_joins_find_some() -> None:
    fleet = started(per_zone=20, proxies=100)
    fleet.run(8)
    late = [entry(b, 0, weight=3.0) for b in range(8, 40, 2)]
    fleet.module.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining"), *late])
    fleet.join(99, 0, {0})
    assert fleet.pick(99, 0) and 0 not in fleet.pick(99, 0)


def test_what_others_proxies_ask_goes_as_ours_where_they_are_dealt_by_chance() -> None:
    for by_zone in (True, False):
        fleet = started(replace(SETTINGS, controller_count=4, proxies_join_local_controller=by_zone))
        for _ in range(4):
            for p in fleet.bound:
                fleet.module.on_demand_report(fleet.now, p, 0, 10 if p % 2 else 20, SECOND)
            for b in range(6):
                fleet.module.on_backend_report(
                    fleet.now, b % 2, b, AttemptReport(20, 0, SECOND // 10, SECOND // 2, {"queue": 1.5})
                )
            fleet.run(1)
        assert (set(fleet.tables[0]) == {0, 2, 4}) == by_zone


def test_changes_without_end_keep_the_queue_short_in_a_channel_at_a_third_of_its_rate() -> None:
    fleet = started(per_zone=20, proxies=60)
    fleet.run(8)
    for k in range(80):
        fleet.module.on_endpoints(
            fleet.now, "changes", [entry(b, b % 2, weight=2.0 + k % 3) for b in range(40)]
        )
        fleet.run(0.5)
        assert fleet.backlog(0.33) <= SETTINGS.queue_limit


def test_a_cold_server_leaves_a_jammed_table_though_the_channel_is_busy() -> None:
    fleet = started(per_zone=20, proxies=60)
    fleet.run(8)
    fleet.module.on_endpoints(fleet.now, "changes", [entry(40, 0, since=fleet.now)])
    fleet.run(2)
    assert 40 in fleet.tables[0]
    for k in range(3):
        fleet.module.on_endpoints(fleet.now, "changes", [entry(b, b % 2, weight=3.0 + k) for b in range(40)])
        fleet.report({b: 0.5 for b in range(41)})
        fleet.run(0.5)
    assert 40 not in fleet.tables[0]


def test_demand_of_many_small_proxies_is_neither_swollen_nor_kept_when_they_fall_silent() -> None:
    fleet = started(proxies=40)
    for turn in range(40):  # each proxy has a call every 4 s; lines cover but the last of that time
        for p in range(turn % 8, 40, 8):
            fleet.module.on_demand_report(fleet.now, p, 0, 1, SECOND)
        fleet.run(0.5)
    asked = sum(p.demand[0][0] for p in fleet.module.proxies.values())
    assert 0.8 < asked / 10 < 1.25
    fleet.run(8)
    assert sum(p.demand[0][0] for p in fleet.module.proxies.values()) < 0.05 * asked


def test_more_proxies_than_servers_accept_connections_are_split_and_none_is_left_without() -> None:
    crowd = replace(SETTINGS, proxy_count=150, backend_connections=35.0, queue_limit=5100.0)
    fleet = started(crowd, per_zone=15, proxies=150)
    fleet.run(20)  # joins wait for room in the channel
    named = [sum(b in fleet.pick(p, 0) for p in fleet.bound) for b in range(30)]
    assert max(named) <= 35 and min(named) > 0
    assert all(len(fleet.pick(p, 0)) >= MIN_BACKENDS for p in fleet.bound)
    mine = fleet.pick(0, 0)
    fleet.module.on_endpoints(fleet.now, "changes", [entry(b, 0, "draining") for b in mine])
    assert fleet.pick(0, 0) and not fleet.pick(0, 0) & mine
    fleet.run(3)  # what the other splits gain by it can wait
    before = {p: fleet.pick(p, 0) for p in fleet.bound}
    fleet.module.on_endpoints(fleet.now, "changes", [entry(30, 0, since=fleet.now)])
    fleet.run(3)
    assert 0 < sum(fleet.pick(p, 0) != before[p] for p in fleet.bound) <= 35  # it goes to one split alone


def test_what_is_gone_for_long_is_forgotten_and_what_drains_or_came_back_is_not() -> None:
    fleet = started()
    for turn in range(60):  # a fleet that replaces a backend every other second, all under new ids
        fleet.module.on_endpoints(
            fleet.now, "changes", [entry(6 + turn, turn % 2, since=fleet.now), entry(turn, turn % 2, "gone")]
        )
        fleet.run(2)
    assert fleet.forgotten == list(range(len(fleet.forgotten))) and len(fleet.forgotten) > 30
    assert len(fleet.module.backends) < 6 + 60 - 30
    fleet.module.on_endpoints(fleet.now, "changes", [entry(60, 0, "draining"), entry(61, 1, "gone")])
    fleet.run(2)
    fleet.module.on_endpoints(fleet.now, "changes", [entry(61, 1, since=fleet.now)])
    fleet.run(60)
    assert {60, 61, *range(62, 66)} == set(fleet.module.backends)


def test_nothing_that_a_spoilt_report_says_reaches_a_view() -> None:
    fleet = started()
    fleet.report({})
    fleet.ask(20)
    fleet.run(0.5)
    view, asked = fleet.module.views[0], dict(fleet.module.proxies[0].demand)
    lines = dict(view.good_rates)
    for latency, covers, tries, queue in (
        (10**21, SECOND, 9, 0.0),
        (SECOND, 10**21, 9, 0.0),
        (SECOND, 0, 9, 0.0),
        (SECOND, SECOND, 10**12, 0.0),
        (SECOND, SECOND, 9, 1e30),
    ):
        fleet.module.on_backend_report(
            fleet.now, 0, 0, AttemptReport(tries, 0, latency, covers, {"queue": queue})
        )
    for covers, calls in ((10**21, 9), (0, 9), (SECOND, 10**12)):
        fleet.module.on_demand_report(fleet.now, 0, 0, calls, covers)
    assert view.good_rates == lines and fleet.module.proxies[0].demand == asked
    assert fleet.module.backends[0].queue_length < 1e30


def test_a_channel_that_all_but_stops_is_noticed_by_marks_that_do_not_come_back() -> None:
    fleet = started(replace(SETTINGS, queue_limit=5100.0), per_zone=20, proxies=60)
    fleet.run(8)
    assert fleet.marks
    fleet.answers, start = False, len(fleet.lines)
    for k in range(40):
        fleet.module.on_endpoints(
            fleet.now, "changes", [entry(b, b % 2, weight=2.0 + k % 3) for b in range(40)]
        )
        fleet.run(0.5)
    held = sum(lines for _, lines in fleet.lines[start:])
    assert held <= 0.6 * fleet.settings.queue_limit  # what can wait does, once the first mark is overdue
    fleet.module.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining")])
    assert 0 not in fleet.pick(0, 0)  # what must leave goes
    fleet.answers = True
    fleet.module.on_ack(fleet.now, fleet.marks[-1])
    fleet.module.on_endpoints(fleet.now, "changes", [entry(b, b % 2, weight=5.0) for b in range(2, 40)])
    fleet.run(10)
    assert sum(lines for _, lines in fleet.lines[start:]) > held


def test_proxies_that_never_answer_a_mark_are_still_told_what_can_wait() -> None:
    fleet = started()
    fleet.answers = False
    for weight in (4.0, 6.0):
        fleet.module.on_endpoints(fleet.now, "changes", [entry(b, b % 2, weight=weight) for b in range(6)])
        fleet.run(9)
        assert all(fleet.tables[t][b] == weight for t in (0, 1) for b in fleet.tables[t])


def test_a_zone_that_restarts_as_a_whole_serves_in_a_jam_as_soon_as_it_bears_all_calls() -> None:
    for share, soon in ((0.3, True), (0.02, False)):  # of its capacity at the start
        fleet = started(replace(SETTINGS, slow_start_share=share), per_zone=8, proxies=8)
        fleet.ask(10)
        for _ in range(8):
            fleet.report({}, tries=30)
            fleet.run(0.5)
        fleet.module.on_endpoints(
            fleet.now, "changes", [entry(b, 0, since=fleet.now) for b in range(0, 16, 2)]
        )
        for _ in range(6):
            fleet.report({b: 0.5 for b in range(0, 16, 2)}, tries=30)
            fleet.ask(10)
            fleet.run(0.5)
        assert any("overloaded" in line for line in fleet.records)
        assert any(b % 2 == 0 for b in fleet.tables[0]) == soon  # long before the cold time is over


def test_less_goes_abroad_to_a_zone_whose_servers_queue() -> None:
    kept = []
    for queue in (0.0, 12.0):
        fleet = started(per_zone=6, proxies=8)
        fleet.module.on_endpoints(fleet.now, "changes", [entry(b, 0, "gone") for b in range(0, 8, 2)])
        for _ in range(8):
            for b in range(1, 12, 2):
                fleet.module.on_backend_report(
                    fleet.now, 1, b, AttemptReport(20, 0, SECOND // 10, SECOND // 2, {"queue": queue})
                )
            fleet.ask(10)
            fleet.run(0.5)
        kept.append(fleet.module.views[0].local_share)
    assert kept[0] < 0.85 and kept[1] > 1 - (1 - kept[0]) / 4


def test_a_server_that_restarts_under_its_name_loses_a_warm_ones_weight_at_once() -> None:
    fleet = started()
    fleet.module.on_endpoints(
        fleet.now, "changes", [entry(2, 0, "draining")]
    )  # an order went out: the pace binds
    fleet.now += SECOND // 100
    fleet.module.on_endpoints(fleet.now, "changes", [entry(0, 0, since=fleet.now)])
    assert fleet.tables[0][0] < 0.3 * 2.0


def test_the_net_beside_a_cold_server_is_of_warm_ones_alone() -> None:
    fleet = started()
    fleet.module.on_endpoints(fleet.now, "changes", [entry(b, 1, "gone") for b in (1, 3)])
    fleet.run(2)
    fleet.module.on_endpoints(fleet.now, "changes", [entry(1, 1, "ready", fleet.now), entry(5, 1, "gone")])
    fleet.module.on_endpoints(fleet.now, "changes", [entry(0, 0, since=fleet.now)])
    for _ in range(8):
        fleet.run(0.5)
        assert fleet.tables[0].get(1, 0.0) <= 0.2 + 1e-9 or fleet.now - 110 * SECOND > SETTINGS.slow_start_ns


def test_calls_that_draining_servers_turn_away_are_no_jam() -> None:
    for state in ("ready", "draining"):
        fleet = started(per_zone=6, proxies=8)
        fleet.module.on_endpoints(fleet.now, "changes", [entry(b, 0, state) for b in (0, 2)])
        for _ in range(6):  # proxies are told one after the other, and send there till then
            for b in range(0, 12, 2):
                fleet.module.on_backend_report(
                    fleet.now, 0, b, AttemptReport(20, 18 * (b < 4), SECOND // 10, SECOND // 2, {})
                )
            fleet.run(0.5)
        assert any("overloaded" in line for line in fleet.records) == (state == "ready")


def test_a_jam_keeps_cold_servers_out_only_where_proxies_call_often_enough_to_avoid_the_warm() -> None:
    for calls, named in ((1, True), (40, False)):  # a second, of each route at each proxy
        fleet = started(replace(SETTINGS, proxy_count=80, queue_limit=5100.0), per_zone=12, proxies=40)
        fleet.run(8)
        fleet.module.on_endpoints(fleet.now, "changes", [entry(b, 0, since=fleet.now) for b in range(24, 36)])
        for _ in range(6):
            fleet.ask(calls)
            fleet.report({b: 0.6 for b in range(24)}, tries=3 * calls)
            fleet.run(0.5)
        assert any("overloaded" in line for line in fleet.records)
        assert any(b >= 24 for b in fleet.tables[0]) == named


def test_ordinary_orders_wait_for_the_last_and_a_drain_waits_for_few() -> None:
    crowd = replace(SETTINGS, proxy_count=80, queue_limit=20000.0, initial_retry_policy=0)
    for slow in (False, True):  # a channel at a tenth of its stated rate: marks come back late
        fleet = started(crowd, per_zone=20, proxies=80)
        fleet.answers, start = not slow, len(fleet.lines)
        for turn in range(24):
            weight = 2.0 + turn % 3
            fleet.module.on_endpoints(
                fleet.now, "changes", [entry(b, b % 2, weight=weight) for b in range(40)]
            )
            fleet.run(0.5)
        lines = sum(lines for _, lines in fleet.lines[start:])
        assert lines > 4 * crowd.channel_rate if not slow else lines < 3 * crowd.channel_rate


def test_the_way_of_trying_again_goes_with_the_first_table_and_costs_no_message_later() -> None:
    fleet = started(replace(SETTINGS, initial_retry_policy=0))
    assert {grant for grant in fleet.levels.values()} == {(1.0, 1)}
    assert all(len(sent) == 1 for sent in fleet.heads.values())


def test_a_zone_left_with_a_cold_server_keeps_no_more_calls_than_that_can_bear() -> None:
    fleet = started(per_zone=6, proxies=8)
    for turn in range(16):
        if turn == 6:
            fleet.module.on_endpoints(fleet.now, "changes", [entry(b, 0, "gone") for b in range(0, 12, 2)])
            fleet.module.on_endpoints(fleet.now, "changes", [entry(12, 0, since=fleet.now)])
        for table, lines in list(fleet.tables.items()):
            for b in sorted(lines):  # as many calls as before are answered, abroad by servers that queue
                queue = {"queue": 9.0 * (turn > 6) * (b % 2)}
                fleet.module.on_backend_report(
                    fleet.now, table, b, AttemptReport(120 // len(lines), 0, SECOND // 5, SECOND // 2, queue)
                )
        fleet.ask(20)
        fleet.run(0.5)
    left = fleet.tables[0]
    asked, bears = fleet.module.views[0].admitted_rate, -fleet.module.best_rate.value  # at a weight of 1
    assert 0 < asked / sum(left.values()) < SETTINGS.overload_factor * bears and left[12] > 0


def test_drops_that_have_all_but_faded_stop_no_decision() -> None:
    fleet = started()
    fleet.report({b: 0.5 for b in range(6)})
    for _ in range(140):  # quiet minutes: the drop share falls under any figure's fifth root
        fleet.report({})
        fleet.run(1)
    fleet.module.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining")])
    assert 0 < fleet.module.views[0].stats.failures < 1e-62 and 0 not in fleet.pick(0, 0)


def test_a_cold_server_of_little_weight_leaves_at_the_usual_pace_and_a_heavy_one_at_once() -> None:
    for weight, waits in ((0.1, True), (2.0, False)):
        fleet = started()
        fleet.module.on_endpoints(fleet.now, "changes", [entry(1, 1, since=fleet.now)])
        fleet.run(3)
        fleet.module.tables[0][1] = fleet.tables[0][1] = weight  # abroad, and the way there is poor now
        fleet.module.last_update_ns[0] = fleet.now
        fleet.module.update_tables(fleet.now)
        assert (1 in fleet.tables[0]) == waits
        fleet.run(2)
        assert 1 not in fleet.tables[0]


def test_each_answer_to_a_mark_tells_that_one_message_has_left_the_channel() -> None:
    fleet = started(proxies=8)
    fleet.answers = False
    before = fleet.module.sent_lines
    assert fleet.module.delivered_lines == before
    fleet.module.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining")])  # four proxies of one zone
    for answers in range(4):
        left = before + (fleet.module.sent_lines - before) * answers / 4
        assert abs(fleet.module.delivered_lines - left) < 1e-6 and fleet.module.sent_lines > before
        fleet.module.on_ack(fleet.now, fleet.marks[-1])
    assert abs(fleet.module.delivered_lines - fleet.module.sent_lines) < 1e-6
