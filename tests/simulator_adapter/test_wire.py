"""The simulator adapter: short exchanges, and invalid input."""

from __future__ import annotations

import io

import pytest

from meadowworks.simulator_adapter import wire

SPAWN = "SPAWN\tcontroller-3\t77\t" + "\t".join(
    """balancers=1 extra.base_mode=0 extra.blackhole_us=5700000
extra.channel_rate=800.0 extra.class_writes=false extra.cycle_us=500000 extra.exclusive=false
extra.fixed_cost=10.0 extra.home_only=false extra.in_flight_max_us=2520000 extra.keeps_writing_us=2500000
extra.level_kind=share extra.proxy_count=4 extra.push_delay_max_us=320000 extra.push_delay_us=128000
extra.queue_cap=1600.0 extra.reloads_max=20 extra.slices=0 extra.update_window_us=10000000 extra.new_key=1
feedback.names=queue feedback.via=piggyback limits.probes=false membership_mode=subscribe position=0
profiles.count=1 profiles.0.deadline_us=6000000 profiles.0.name=look profiles.0.on_time_us=2000000
profiles.0.repeat=safe profiles.0.worth=2.0 safety.ask_within_us=10000000 safety.cold_share=0.3
safety.cold_us=15000000 safety.stop_sending_within_us=3300000 safety.tip_multiple=2.5 weight_kind=nominal
zones=east,west""".split()
)
LIST = "TOPOLOGY\tcontroller-3\tdisk\t4\t1\nBACKEND\tk\tin_service\t-\t0\t10.0.0.1:80\teast\t1.5"


def exchange(*batches: str) -> list[str]:
    sink = io.StringIO()
    text = "".join(f"FRAME\t{k * 1000}\n{b}YOUR_TURN\n\n" for k, b in enumerate(batches))
    wire.serve(io.StringIO(text), sink)
    return sink.getvalue().split("DONE\n")[:-1]


def test_short_exchange() -> None:
    replies = exchange(
        "",
        f"{SPAWN}\n{LIST}\n",
        "CONNECTED\tcontroller-3\t2\teast\t6.5\t1\n",
        "STATS\tcontroller-3\teast\t10.0.0.9:80\t14\t1\t48250\t500000\tqueue:3\n",
        "LEFT\tcontroller-3\t2\nLEFT\tcontroller-3\t2\n",
        "DOWN\tcontroller-3\n",
    )
    # Guards against errors for valid but unusual input, such as a report on an unlisted backend.
    assert replies[0] == replies[3] == replies[4] == replies[5] == ""
    assert "TRACK\tcontroller-3\t1\n" in replies[1]
    assert "UPSERT\tcontroller-3\t0\t10.0.0.1:80\t1.5\n" in replies[1]
    assert "SUBSCRIBE_TO\tcontroller-3\t0\t2\t0\n" in replies[2]


def test_removal_in_an_unreliable_list_leads_to_a_health_check() -> None:
    unreliable = SPAWN.replace("limits.probes=false", "limits.probes=true\tsafety.only_draining_binds=true")
    gone = LIST.replace("disk\t4", "diff\t5").replace("in_service", "terminated")
    probed = "PROBED\tcontroller-3\t10.0.0.{}:80\teconnrefused\t900\t-\n"
    replies = exchange(f"{unreliable}\n{LIST}\n", f"{gone}\n", probed.format(9), probed.format(1))
    assert replies[1] == "SAMPLE\tcontroller-3\t10.0.0.1:80\n" and replies[2] == ""
    assert replies[3].splitlines()[0] == "UPSERT\tcontroller-3\t0\t10.0.0.1:80\t0"


def test_proxies_that_join_in_one_batch_get_tables_within_the_channels_capacity() -> None:
    joins = "".join(f"CONNECTED\tcontroller-3\t{p}\teast\t6.5\t1\n" for p in range(1000))
    replies = exchange(f"{SPAWN}\n{LIST}\n", joins, "ELAPSED\tcontroller-3\ttick\n")
    assert 0 < replies[1].count("SUBSCRIBE_TO") <= 1600 / 12


@pytest.mark.parametrize(
    ("batch", "message"),
    [
        ("NOISE\tcontroller-3\n", "unknown event 'NOISE'"),
        ("LEFT\tcontroller-3\t2\n", "has not started"),
        (f"{SPAWN}\nLEFT\tcontroller-3\n", "LEFT has 1 values"),
        (f"{SPAWN}\nLEFT\tcontroller-3\ttwo\n", "invalid literal"),
        (SPAWN.replace("profiles.0.worth=2.0\t", "") + "\n", "setting profiles.0.worth is missing"),
        (SPAWN.replace("cycle_us=500000", "cycle_us=often") + "\n", "extra.cycle_us is no number"),
        (f"{SPAWN}\n{LIST.replace('BACKEND', 'SERVER')}\n", "expected a BACKEND entry"),
    ],
)
def test_invalid_input_is_reported_with_its_line(batch: str, message: str) -> None:
    with pytest.raises(wire.WireError, match=r"line \d+") as raised:
        exchange(batch)
    assert message in str(raised.value)


def test_exception_in_the_policy_is_reported_in_the_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_tick(*_: object) -> None:
        raise RuntimeError("invalid state")

    monkeypatch.setattr("meadowworks.policy.Controller.tick", failing_tick)
    replies = exchange(f"{SPAWN}\n{LIST}\n", "ELAPSED\tcontroller-3\ttick\n")
    assert "BUG\tcontroller-3\tRuntimeError: invalid state (failing_tick," in replies[1]
