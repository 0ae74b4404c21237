"""The policy controller: random events against a plain model of its rules, and regression tests."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from meadowworks.policy.interface import AttemptReport
from meadowworks.policy.state import EJECTION_WEIGHTS
from meadowworks.policy.weights import MIN_BACKENDS
from tests.policy.harness import ROUTES, SECOND, SETTINGS, Fleet, entry, started_fleet

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
def test_random_events_keep_the_rules_of_a_plain_model(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    fleet = started_fleet()
    state = {b: ("ready", 0) for b in range(6)}
    for step in steps:
        if step[0] == "join" and step[1] not in fleet.assigned_tables:
            fleet.join(step[1], step[2], {0, 1})
        elif step[0] == "leave":
            fleet.leave(step[1])
        elif step[0] == "list":
            since = fleet.now if step[2] == "start" else state[step[1]][1]
            state[step[1]] = ("ready" if step[2] == "start" else step[2], since)
            fleet.controller.on_endpoints(
                fleet.now, "changes", [entry(step[1], step[1] % 2, *state[step[1]])]
            )
        elif step[0] == "error":
            fleet.controller.on_endpoints(fleet.now, "error", [])
        elif step[0] == "report":
            fleet.report_attempts(dict(enumerate(step[1])), step[2] * SECOND // 10)
        elif step[0] == "wait":
            fleet.run(step[1] / 2)
        assert fleet.backlog(0.5) <= SETTINGS.queue_limit
        for times in fleet.message_times.values():
            assert sum(t > fleet.now - SETTINGS.message_window_ns for t in times) <= SETTINGS.message_limit
        assert all(0 <= limit <= 1 and retry_policy <= 1 for limit, retry_policy in fleet.admissions.values())
    fleet.run(2)  # the time limits of the rules below
    ready = {b for b, (status, _) in state.items() if status == "ready"}
    warm = {b for b in ready if fleet.now - state[b][1] >= SETTINGS.slow_start_ns}
    for proxy in fleet.assigned_tables:
        for route in range(len(SETTINGS.routes)):
            usable = fleet.usable_backends(proxy, route) or fleet.fallbacks.get(proxy, set())
            assert usable or not warm
            assert usable <= ready or proxy in fleet.fallbacks and not ready


def test_new_controller_assigns_tables_at_once_and_follows_the_list() -> None:
    fleet = Fleet()
    fleet.controller.on_endpoints(fleet.now, "disk", [entry(0, 0), entry(1, 1)])
    fleet.join(0, 0)
    assert fleet.watch_times == [fleet.now] and fleet.usable_backends(0, 0) == {0}
    fleet.controller.on_endpoints(fleet.now, "whole", [entry(1, 1)])
    assert fleet.usable_backends(0, 0) == {1}  # a zone without backends uses those of all zones
    fleet.run(1)
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(2, 0)])
    fleet.run(2)
    assert fleet.usable_backends(0, 0) == {2}


def test_draining_backend_leaves_all_tables_at_once() -> None:
    fleet = started_fleet()
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining")])
    assert 0 not in fleet.usable_backends(0, 0) and {2, 4} <= fleet.usable_backends(0, 0)


def test_failed_list_call_is_retried_within_its_time_limit() -> None:
    fleet = started_fleet()
    for _ in range(6):
        fleet.controller.on_endpoints(fleet.now, "error", [])
        failed = fleet.now
        fleet.run(6)
        assert 0 < fleet.watch_times[-1] - failed <= SETTINGS.list_refresh_ns * 0.65


def test_new_backend_starts_at_a_tenth_of_its_weight_and_ramps_up() -> None:
    fleet = started_fleet()
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(6, 0, since=fleet.now)])
    fleet.run(1)
    first = fleet.tables[0][6]
    fleet.run(30)
    assert abs(first - 0.2) < 1e-6 and fleet.tables[0][6] == 2.0


def test_failing_backend_is_ejected_to_the_least_weight_and_recovers() -> None:
    fleet = started_fleet()
    for _ in range(4):
        fleet.report_attempts({2: 0.9})
        fleet.run(1)
    assert fleet.tables[0][2] == 2.0 * EJECTION_WEIGHTS[-1]
    fleet.run(11)
    assert 2.0 * EJECTION_WEIGHTS[-1] < fleet.tables[0][2] < 2.0
    fleet.run(30)
    assert fleet.tables[0][2] == 2.0


def test_slow_backend_is_ejected_only_if_it_has_a_queue() -> None:
    for queue in (9.0, 0.0):
        fleet = started_fleet()
        for _ in range(4):
            for b in range(6):
                latency = 3 * SECOND if b == 2 else SECOND // 10
                fleet.controller.on_backend_report(
                    fleet.now, b % 2, b, AttemptReport(20, 0, latency, SECOND // 2, {"queue": queue})
                )
            fleet.run(1)
        assert (fleet.tables[0][2] < 2.0) == (queue > 0)


def test_no_backend_is_ejected_if_all_fail() -> None:
    fleet = started_fleet()
    for _ in range(6):
        fleet.report_attempts({b: 0.9 for b in range(6)})
        fleet.run(0.5)
    assert set(fleet.tables[0].values()) == {2.0}


def test_zone_that_loses_backends_spills_over_only_its_excess() -> None:
    fleet = started_fleet()
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(b, b % 2, "gone") for b in (2, 4)])
    fleet.run(2)
    remote = sum(w for b, w in fleet.tables[0].items() if b % 2)
    assert 0.4 < remote / sum(fleet.tables[0].values()) < 0.6  # a quarter of the capacity, half the calls
    assert set(fleet.tables[1]) == {1, 3, 5}


def test_overloaded_zone_excludes_warming_backends() -> None:
    fleet = started_fleet()
    for _ in range(3):
        fleet.report_attempts({b: 0.5 for b in range(6)})
        fleet.run(0.5)
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(6, 0, since=fleet.now)])
    fleet.run(1)
    assert 6 not in fleet.tables[0]


def test_new_controller_excludes_warming_backends_until_it_has_settled() -> None:
    fleet = Fleet()
    fleet.controller.on_endpoints(
        fleet.now, "disk", [entry(0, 0), entry(1, 1), entry(2, 0, since=fleet.now - SECOND)]
    )
    fleet.join(0, 0)
    assert 2 not in fleet.usable_backends(0, 0)
    fleet.run(8)
    assert 2 in fleet.usable_backends(0, 0)


def test_table_with_a_warming_backend_has_warm_remote_backups() -> None:
    fleet = started_fleet()
    assert set(fleet.tables[0]) == {0, 2, 4}
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(6, 0, since=fleet.now)])
    fleet.run(2)
    remote = sum(w for b, w in fleet.tables[0].items() if b % 2)
    assert 0 < remote <= 0.25 * sum(fleet.tables[0].values()) and remote >= fleet.tables[0][6]


def test_zone_whose_only_backend_is_warming_sends_it_few_calls() -> None:
    fleet = started_fleet()
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(b, b % 2, "gone") for b in (0, 2, 4)])
    fleet.run(3)
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(0, 0, since=fleet.now)])
    fleet.run(2)
    assert fleet.tables[0][0] < 0.2 * sum(fleet.tables[0].values())


def test_admission_limits_reach_a_zone_whose_table_changes_every_second() -> None:
    fleet = started_fleet()
    for k in range(12):
        fleet.report_demand(100)
        fleet.report_attempts({}, latency=(4 if k else 1) * SECOND)
        fleet.controller.on_endpoints(fleet.now, "changes", [entry(0, 0, weight=2.0 + k % 2)])
        fleet.run(1)
    assert fleet.admissions[0, 1][0] < 1.0 and fleet.admissions[0, 1][0] <= fleet.admissions[0, 0][0]


def test_slice_gets_a_ready_backend_and_a_new_owner_only_after_the_old_ones_writes() -> None:
    for exclusive in (False, True):
        fleet = Fleet(replace(SETTINGS, slice_count=4, exclusive_slices=exclusive))
        fleet.controller.on_endpoints(fleet.now, "disk", [entry(0, 0), entry(1, 1)])
        fleet.controller.on_slice_assigned(fleet.now, 2, True)
        fleet.controller.on_slice_backend(fleet.now, 2, 0, 1.0)
        fleet.controller.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining")])
        fleet.run(1)
        if exclusive:
            assert 2 not in fleet.tables and {fleet.admissions[2, k][0] for k in range(3)} == {0.0}
            fleet.run(5)
            assert {fleet.admissions[2, k][0] for k in range(3)} == {1.0}
        assert fleet.tables[2][1] == 1.0


def test_route_confined_to_its_zone_uses_only_local_backends() -> None:
    confined = (replace(ROUTES[0], own_zone_only=True), *ROUTES[1:])
    fleet = started_fleet(replace(SETTINGS, routes=confined))
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(b, 0, "gone") for b in (0, 2)])
    fleet.run(2)
    assert fleet.usable_backends(0, 0) == {4} and fleet.usable_backends(0, 1) >= {1, 3, 4, 5}


def test_admission_limits_are_rates_if_the_settings_say_so() -> None:
    fleet = started_fleet(replace(SETTINGS, admission_unit="rate"))
    for k in range(8):
        fleet.report_demand(100)
        fleet.report_attempts({}, latency=(4 if k else 1) * SECOND)
        fleet.run(1)
    assert 1.0 < fleet.admissions[0, 1][0] < 100.0


def test_stalled_controller_excludes_warming_backends_for_a_while() -> None:
    fleet = started_fleet()
    fleet.now += 2 * SECOND
    fleet.run(0.25)
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(6, 0, since=fleet.now)])
    fleet.run(2)
    assert 6 not in fleet.tables[0]
    fleet.run(5)
    assert 6 in fleet.tables[0]


def test_backend_with_a_queue_is_not_ejected_for_rejected_calls() -> None:
    for queue, ejected in ((9.0, False), (0.0, True)):
        fleet = started_fleet()
        for _ in range(4):
            for b in range(6):
                failures = 8 if b == 2 else 0
                fleet.controller.on_backend_report(
                    fleet.now,
                    b % 2,
                    b,
                    AttemptReport(20, failures, SECOND // 10, SECOND // 2, {"queue": queue}),
                )
            fleet.run(1)
        assert (fleet.tables[0][2] < 2.0) == ejected


def test_uneven_demand_alone_causes_no_spillover() -> None:
    for slow in (False, True):
        fleet = started_fleet()
        for k in range(5):
            for p in fleet.assigned_tables:
                fleet.controller.on_demand_report(fleet.now, p, 0, 10 if p % 2 else 100, SECOND)
            fleet.report_attempts({}, latency=3 * SECOND if slow and k else SECOND // 10)
            fleet.run(1)
        assert (set(fleet.tables[0]) == {0, 2, 4}) != slow


def test_update_larger_than_the_channel_is_sent_in_parts_with_removals_first() -> None:
    fleet = started_fleet(per_zone=30, proxies=80)
    fleet.run(8)
    assert all(len(fleet.usable_backends(p, 0)) == 30 for p in fleet.assigned_tables)
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(b, 0, "draining") for b in range(0, 50, 2)])
    assert not fleet.usable_backends(0, 0) & set(range(0, 50, 2))
    start = fleet.now
    for _ in range(60):
        fleet.run(0.5)
        assert fleet.backlog(0.5) <= SETTINGS.queue_limit
    overhead = sum(n for when, n in fleet.sent_lines if when > start and n == SETTINGS.message_overhead)
    # Guards against many small messages that are mostly overhead.
    assert sum(n for when, n in fleet.sent_lines if when > start) >= 2 * overhead
    assert len(fleet.usable_backends(0, 0)) == 35  # the excess spills over to all remote backends


def test_backend_wrongly_listed_as_gone_stays_while_it_answers() -> None:
    for health_checks in (True, False):
        fleet = started_fleet(replace(SETTINGS, removals_uncertain=True, health_checks=health_checks))
        whole = [entry(4, 0, "draining"), *(entry(b, b % 2) for b in (1, 3, 5))]
        fleet.controller.on_endpoints(fleet.now, "whole", whole)
        fleet.controller.on_endpoints(fleet.now, "changes", [entry(9, 0, "gone")])
        assert fleet.usable_backends(0, 0) >= {0, 2} and not fleet.usable_backends(0, 0) & {4, 9}
        assert set(fleet.health_checks) == ({0, 2} if health_checks else set())
        if health_checks:
            fleet.controller.on_health_check(fleet.now, 0, True)
            fleet.controller.on_health_check(fleet.now, 2, False)
        for _ in range(8):
            fleet.report_attempts({2: 1.0})
            fleet.run(0.5)
        assert 0 in fleet.usable_backends(0, 0) and 2 not in fleet.usable_backends(0, 0)
        fleet.controller.on_endpoints(fleet.now, "changes", [entry(2, 0), entry(0, 0)])
        fleet.run(2)
        assert {0, 2} <= fleet.usable_backends(0, 0)


def test_backend_with_a_queue_is_ejected_by_one_step_at_a_time() -> None:
    fleet = started_fleet()
    for _ in range(2):
        for b in range(6):
            failures, latency = (14, 3 * SECOND) if b == 2 else (0, SECOND // 10)
            fleet.controller.on_backend_report(
                fleet.now,
                b % 2,
                b,
                AttemptReport(20, failures, latency, SECOND // 2, {"queue": 9.0 * (b == 2)}),
            )
        fleet.run(1)
    assert fleet.tables[0][2] == 2.0 * EJECTION_WEIGHTS[1]


def test_no_spillover_over_a_lossy_link_to_idle_backends() -> None:
    for queue in (0.0, 9.0):
        fleet = started_fleet()
        fleet.controller.on_endpoints(fleet.now, "changes", [entry(b, b % 2, "gone") for b in (2, 4)])
        fleet.run(2)
        for _ in range(6):
            for b in (1, 3, 5, 0):
                failures, load = 5 * (b > 0), {"queue": queue}
                fleet.controller.on_backend_report(
                    fleet.now, 0, b, AttemptReport(20, failures, SECOND // 10, SECOND // 2, load)
                )
            fleet.run(1)
        assert (fleet.usable_backends(0, 0) == {0}) == (queue == 0.0)


def test_overloaded_zone_neither_throttles_a_healthy_zone_nor_gains_from_it() -> None:
    fleet = started_fleet()
    for k in range(10):
        fleet.report_demand(100)
        for b in range(6):
            failures, latency = (16, 2 * SECOND) if b % 2 and k else (0, SECOND // 10)
            fleet.controller.on_backend_report(
                fleet.now, b % 2, b, AttemptReport(100, 5 * failures, latency, SECOND // 2, {})
            )
        fleet.run(1)
    assert fleet.admissions[1, 0][0] < fleet.admissions.get((0, 0), (1.0, 1))[0]


def test_drains_leave_channel_capacity_for_joins() -> None:
    fleet = started_fleet(per_zone=20, proxies=100)
    fleet.run(8)
    reweighted = [entry(b, 0, weight=3.0) for b in range(8, 40, 2)]
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining"), *reweighted])
    fleet.join(99, 0, {0})
    assert fleet.usable_backends(99, 0) and 0 not in fleet.usable_backends(99, 0)


def test_measured_demand_stands_for_all_controllers_if_proxies_join_at_random() -> None:
    for join_local in (True, False):
        fleet = started_fleet(replace(SETTINGS, controller_count=4, proxies_join_local_controller=join_local))
        for _ in range(4):
            for p in fleet.assigned_tables:
                fleet.controller.on_demand_report(fleet.now, p, 0, 10 if p % 2 else 20, SECOND)
            for b in range(6):
                fleet.controller.on_backend_report(
                    fleet.now, b % 2, b, AttemptReport(20, 0, SECOND // 10, SECOND // 2, {"queue": 1.5})
                )
            fleet.run(1)
        assert (set(fleet.tables[0]) == {0, 2, 4}) == join_local


def test_continuous_changes_keep_the_queue_limit_in_a_channel_at_a_third_of_its_rate() -> None:
    fleet = started_fleet(per_zone=20, proxies=60)
    fleet.run(8)
    for k in range(80):
        fleet.controller.on_endpoints(
            fleet.now, "changes", [entry(b, b % 2, weight=2.0 + k % 3) for b in range(40)]
        )
        fleet.run(0.5)
        assert fleet.backlog(0.33) <= SETTINGS.queue_limit


def test_warming_backend_leaves_an_overloaded_zones_table_though_the_channel_is_busy() -> None:
    fleet = started_fleet(per_zone=20, proxies=60)
    fleet.run(8)
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(40, 0, since=fleet.now)])
    fleet.run(2)
    assert 40 in fleet.tables[0]
    for k in range(3):
        fleet.controller.on_endpoints(
            fleet.now, "changes", [entry(b, b % 2, weight=3.0 + k) for b in range(40)]
        )
        fleet.report_attempts({b: 0.5 for b in range(41)})
        fleet.run(0.5)
    assert 40 not in fleet.tables[0]


def test_demand_of_many_small_proxies_is_accurate_and_decays_without_reports() -> None:
    fleet = started_fleet(proxies=40)
    for turn in range(40):  # each proxy has a call every 4 s, in a report that covers 1 s
        for p in range(turn % 8, 40, 8):
            fleet.controller.on_demand_report(fleet.now, p, 0, 1, SECOND)
        fleet.run(0.5)
    demand = sum(p.demand[0][0] for p in fleet.controller.proxies.values())
    assert 0.8 < demand / 10 < 1.25
    fleet.run(8)
    assert sum(p.demand[0][0] for p in fleet.controller.proxies.values()) < 0.05 * demand


def test_proxies_are_split_into_subsets_by_the_connection_limit_of_backends() -> None:
    many_proxies = replace(SETTINGS, proxy_count=150, backend_connections=35.0, queue_limit=5100.0)
    fleet = started_fleet(many_proxies, per_zone=15, proxies=150)
    fleet.run(20)  # joins wait for capacity of the channel
    users = [sum(b in fleet.usable_backends(p, 0) for p in fleet.assigned_tables) for b in range(30)]
    assert max(users) <= 35 and min(users) > 0
    assert all(len(fleet.usable_backends(p, 0)) >= MIN_BACKENDS for p in fleet.assigned_tables)
    own = fleet.usable_backends(0, 0)
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(b, 0, "draining") for b in own])
    assert fleet.usable_backends(0, 0) and not fleet.usable_backends(0, 0) & own
    fleet.run(3)  # changes for the other subsets may wait
    before = {p: fleet.usable_backends(p, 0) for p in fleet.assigned_tables}
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(30, 0, since=fleet.now)])
    fleet.run(3)
    # The new backend belongs to one subset only.
    assert 0 < sum(fleet.usable_backends(p, 0) != before[p] for p in fleet.assigned_tables) <= 35


def test_backend_gone_for_long_is_released_but_not_a_draining_or_returned_one() -> None:
    fleet = started_fleet()
    for turn in range(60):  # replaces a backend every two seconds, with new ids
        fleet.controller.on_endpoints(
            fleet.now, "changes", [entry(6 + turn, turn % 2, since=fleet.now), entry(turn, turn % 2, "gone")]
        )
        fleet.run(2)
    assert fleet.released == list(range(len(fleet.released))) and len(fleet.released) > 30
    assert len(fleet.controller.backends) < 6 + 60 - 30
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(60, 0, "draining"), entry(61, 1, "gone")])
    fleet.run(2)
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(61, 1, since=fleet.now)])
    fleet.run(60)
    assert {60, 61, *range(62, 66)} == set(fleet.controller.backends)


def test_corrupt_reports_change_no_view() -> None:
    fleet = started_fleet()
    fleet.report_attempts({})
    fleet.report_demand(20)
    fleet.run(0.5)
    view, demand = fleet.controller.views[0], dict(fleet.controller.proxies[0].demand)
    rates = dict(view.success_rates)
    for latency, period, attempts, queue in (
        (10**21, SECOND, 9, 0.0),
        (SECOND, 10**21, 9, 0.0),
        (SECOND, 0, 9, 0.0),
        (SECOND, SECOND, 10**12, 0.0),
        (SECOND, SECOND, 9, 1e30),
    ):
        fleet.controller.on_backend_report(
            fleet.now, 0, 0, AttemptReport(attempts, 0, latency, period, {"queue": queue})
        )
    for period, calls in ((10**21, 9), (0, 9), (SECOND, 10**12)):
        fleet.controller.on_demand_report(fleet.now, 0, 0, calls, period)
    assert view.success_rates == rates and fleet.controller.proxies[0].demand == demand
    assert fleet.controller.backends[0].queue_length < 1e30


def test_stalled_channel_is_detected_by_missing_acknowledgements() -> None:
    fleet = started_fleet(replace(SETTINGS, queue_limit=5100.0), per_zone=20, proxies=60)
    fleet.run(8)
    assert fleet.nonces
    fleet.acknowledges, start = False, len(fleet.sent_lines)
    for k in range(40):
        fleet.controller.on_endpoints(
            fleet.now, "changes", [entry(b, b % 2, weight=2.0 + k % 3) for b in range(40)]
        )
        fleet.run(0.5)
    stalled_lines = sum(lines for _, lines in fleet.sent_lines[start:])
    assert stalled_lines <= 0.6 * fleet.settings.queue_limit  # routine updates wait once a nonce is overdue
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining")])
    assert 0 not in fleet.usable_backends(0, 0)  # removals are still sent
    fleet.acknowledges = True
    fleet.controller.on_ack(fleet.now, fleet.nonces[-1])
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(b, b % 2, weight=5.0) for b in range(2, 40)])
    fleet.run(10)
    assert sum(lines for _, lines in fleet.sent_lines[start:]) > stalled_lines


def test_proxies_that_never_acknowledge_still_get_routine_updates() -> None:
    fleet = started_fleet()
    fleet.acknowledges = False
    for weight in (4.0, 6.0):
        fleet.controller.on_endpoints(
            fleet.now, "changes", [entry(b, b % 2, weight=weight) for b in range(6)]
        )
        fleet.run(9)
        assert all(fleet.tables[t][b] == weight for t in (0, 1) for b in fleet.tables[t])


def test_restarted_zone_serves_under_overload_once_it_can_take_all_calls() -> None:
    for share, serves in ((0.3, True), (0.02, False)):  # part of its capacity at the start
        fleet = started_fleet(replace(SETTINGS, slow_start_share=share), per_zone=8, proxies=8)
        fleet.report_demand(10)
        for _ in range(8):
            fleet.report_attempts({}, attempts=30)
            fleet.run(0.5)
        fleet.controller.on_endpoints(
            fleet.now, "changes", [entry(b, 0, since=fleet.now) for b in range(0, 16, 2)]
        )
        for _ in range(6):
            fleet.report_attempts({b: 0.5 for b in range(0, 16, 2)}, attempts=30)
            fleet.report_demand(10)
            fleet.run(0.5)
        assert any("overloaded" in line for line in fleet.log_lines)
        assert any(b % 2 == 0 for b in fleet.tables[0]) == serves  # long before the end of the slow start


def test_less_spills_over_to_a_zone_with_queues() -> None:
    local_shares = []
    for queue in (0.0, 12.0):
        fleet = started_fleet(per_zone=6, proxies=8)
        fleet.controller.on_endpoints(fleet.now, "changes", [entry(b, 0, "gone") for b in range(0, 8, 2)])
        for _ in range(8):
            for b in range(1, 12, 2):
                fleet.controller.on_backend_report(
                    fleet.now, 1, b, AttemptReport(20, 0, SECOND // 10, SECOND // 2, {"queue": queue})
                )
            fleet.report_demand(10)
            fleet.run(0.5)
        local_shares.append(fleet.controller.views[0].local_share)
    assert local_shares[0] < 0.85 and local_shares[1] > 1 - (1 - local_shares[0]) / 4


def test_backend_restarted_under_its_name_loses_its_full_weight_at_once() -> None:
    fleet = started_fleet()
    # The drain starts the interval between routine updates.
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(2, 0, "draining")])
    fleet.now += SECOND // 100
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(0, 0, since=fleet.now)])
    assert fleet.tables[0][0] < 0.3 * 2.0


def test_backups_of_a_warming_backend_are_warm() -> None:
    fleet = started_fleet()
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(b, 1, "gone") for b in (1, 3)])
    fleet.run(2)
    fleet.controller.on_endpoints(
        fleet.now, "changes", [entry(1, 1, "ready", fleet.now), entry(5, 1, "gone")]
    )
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(0, 0, since=fleet.now)])
    for _ in range(8):
        fleet.run(0.5)
        assert fleet.tables[0].get(1, 0.0) <= 0.2 + 1e-9 or fleet.now - 110 * SECOND > SETTINGS.slow_start_ns


def test_calls_rejected_by_draining_backends_are_no_overload() -> None:
    for state in ("ready", "draining"):
        fleet = started_fleet(per_zone=6, proxies=8)
        fleet.controller.on_endpoints(fleet.now, "changes", [entry(b, 0, state) for b in (0, 2)])
        for _ in range(6):  # proxies use them until they get the update
            for b in range(0, 12, 2):
                fleet.controller.on_backend_report(
                    fleet.now, 0, b, AttemptReport(20, 18 * (b < 4), SECOND // 10, SECOND // 2, {})
                )
            fleet.run(0.5)
        assert any("overloaded" in line for line in fleet.log_lines) == (state == "ready")


def test_overload_excludes_warming_backends_only_if_proxies_may_eject_the_warm_ones() -> None:
    for calls, included in ((1, True), (40, False)):  # a second, of each route at each proxy
        fleet = started_fleet(replace(SETTINGS, proxy_count=80, queue_limit=5100.0), per_zone=12, proxies=40)
        fleet.run(8)
        fleet.controller.on_endpoints(
            fleet.now, "changes", [entry(b, 0, since=fleet.now) for b in range(24, 36)]
        )
        for _ in range(6):
            fleet.report_demand(calls)
            fleet.report_attempts({b: 0.6 for b in range(24)}, attempts=3 * calls)
            fleet.run(0.5)
        assert any("overloaded" in line for line in fleet.log_lines)
        assert any(b >= 24 for b in fleet.tables[0]) == included


def test_routine_updates_wait_for_the_delivery_of_earlier_ones() -> None:
    many_proxies = replace(SETTINGS, proxy_count=80, queue_limit=20000.0, initial_retry_policy=0)
    for slow in (False, True):  # a slow channel delivers no acknowledgements
        fleet = started_fleet(many_proxies, per_zone=20, proxies=80)
        fleet.acknowledges, start = not slow, len(fleet.sent_lines)
        for turn in range(24):
            weight = 2.0 + turn % 3
            fleet.controller.on_endpoints(
                fleet.now, "changes", [entry(b, b % 2, weight=weight) for b in range(40)]
            )
            fleet.run(0.5)
        lines = sum(lines for _, lines in fleet.sent_lines[start:])
        assert lines > 4 * many_proxies.channel_rate if not slow else lines < 3 * many_proxies.channel_rate


def test_retry_policy_is_sent_with_the_first_table_and_costs_no_later_message() -> None:
    fleet = started_fleet(replace(SETTINGS, initial_retry_policy=0))
    assert {grant for grant in fleet.admissions.values()} == {(1.0, 1)}
    assert all(len(times) == 1 for times in fleet.message_times.values())


def test_zone_left_with_one_warming_backend_does_not_overload_it() -> None:
    fleet = started_fleet(per_zone=6, proxies=8)
    for turn in range(16):
        if turn == 6:
            fleet.controller.on_endpoints(
                fleet.now, "changes", [entry(b, 0, "gone") for b in range(0, 12, 2)]
            )
            fleet.controller.on_endpoints(fleet.now, "changes", [entry(12, 0, since=fleet.now)])
        for table, weights in list(fleet.tables.items()):
            for b in sorted(weights):  # as many calls are answered as before; remote backends have queues
                queue = {"queue": 9.0 * (turn > 6) * (b % 2)}
                fleet.controller.on_backend_report(
                    fleet.now,
                    table,
                    b,
                    AttemptReport(120 // len(weights), 0, SECOND // 5, SECOND // 2, queue),
                )
        fleet.report_demand(20)
        fleet.run(0.5)
    weights = fleet.tables[0]
    demand, rate_per_weight = fleet.controller.views[0].admitted_rate, -fleet.controller.best_rate.value
    assert 0 < demand / sum(weights.values()) < SETTINGS.overload_factor * rate_per_weight and weights[12] > 0


def test_nearly_decayed_failures_cause_no_arithmetic_error() -> None:
    fleet = started_fleet()
    fleet.report_attempts({b: 0.5 for b in range(6)})
    for _ in range(140):  # until the fifth power of the failure ratio underflows
        fleet.report_attempts({})
        fleet.run(1)
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining")])
    assert 0 < fleet.controller.views[0].stats.failures < 1e-62 and 0 not in fleet.usable_backends(0, 0)


def test_warming_backend_is_removed_at_once_only_if_its_weight_is_too_high() -> None:
    for weight, waits in ((0.1, True), (2.0, False)):
        fleet = started_fleet()
        fleet.controller.on_endpoints(fleet.now, "changes", [entry(1, 1, since=fleet.now)])
        fleet.run(3)
        fleet.controller.tables[0][1] = fleet.tables[0][1] = weight  # a remote backend that the target lacks
        fleet.controller.last_update_ns[0] = fleet.now
        fleet.controller.update_tables(fleet.now)
        assert (1 in fleet.tables[0]) == waits
        fleet.run(2)
        assert 1 not in fleet.tables[0]


def test_each_acknowledgement_counts_one_message_as_delivered() -> None:
    fleet = started_fleet(proxies=8)
    fleet.acknowledges = False
    before = fleet.controller.sent_lines
    assert fleet.controller.delivered_lines == before
    # The update goes to the four proxies of one zone.
    fleet.controller.on_endpoints(fleet.now, "changes", [entry(0, 0, "draining")])
    for acknowledged in range(4):
        delivered = before + (fleet.controller.sent_lines - before) * acknowledged / 4
        assert (
            abs(fleet.controller.delivered_lines - delivered) < 1e-6 and fleet.controller.sent_lines > before
        )
        fleet.controller.on_ack(fleet.now, fleet.nonces[-1])
    assert abs(fleet.controller.delivered_lines - fleet.controller.sent_lines) < 1e-6
