"""Tests of the engine model: scheduling, memory, cold starts and load reports."""

import pytest

from gypsumfield.prefixes import prefix_digests
from gypsumfield.standins.engine_model import EngineModel
from gypsumfield.standins.engine_model import EngineModelSettings
from gypsumfield.standins.engine_model import output_length
from gypsumfield.standins.engine_model import Submission


def run_to_end(model: EngineModel, now_ms: float = 0.0) -> dict[str, list[int]]:
    sequences: dict[str, list[int]] = {}
    while not model.is_idle:
        result = model.step(now_ms)
        now_ms += result.duration_ms
        for token in result.tokens:
            sequences.setdefault(token.generation_id, []).append(token.sequence)
        assert model.memory_used_tokens <= model.settings.memory_limit_tokens
    return sequences


def submit(model: EngineModel, name: str, tokens: int, priority: int = 0) -> None:
    prompt = f"{name} [tokens={tokens}]"
    assert model.submit(Submission(name, prompt, 1_000, priority), 0.0) is None


def test_full_memory_preempts_the_lowest_priority_and_all_generations_finish():
    model = EngineModel(EngineModelSettings(memory_limit_tokens=100), 0.0)
    for name, priority in (("low", 0), ("high", 5), ("late", 0)):
        submit(model, name, 60, priority)
    preempted: list[str] = []
    now_ms = 0.0
    while not preempted:
        result = model.step(now_ms)
        now_ms += result.duration_ms
        preempted.extend(result.preempted)
    assert preempted[0] == "late"
    assert "high" in {state.submission.generation_id for state in model.running}
    remaining_sequences = run_to_end(model, now_ms)
    assert {name: sequences[-1] for name, sequences in remaining_sequences.items()} == {
        "low": 60,
        "high": 60,
        "late": 60,
    }
    assert model.preemption_count >= 1


def test_step_time_grows_with_batch_and_memory():
    durations = []
    for count in (1, 8):
        model = EngineModel(EngineModelSettings(), 0.0)
        for number in range(count):
            submit(model, f"g{number}", 50)
        model.step(0.0)
        durations.append(model.step(10.0).duration_ms)
    assert durations[1] > durations[0]


@pytest.mark.parametrize("is_fatal", [False, True])
def test_a_cold_engine_limits_the_number_of_generations(is_fatal):
    settings = EngineModelSettings(
        cold_duration_ms=1_000.0, cold_limit=1, is_cold_overload_fatal=is_fatal
    )
    model = EngineModel(settings, 0.0)
    boot_id = model.boot_id
    submit(model, "first", 5)
    assert model.submit(Submission("second", "x", 5), 0.0) == "engine_cold"
    assert (model.boot_id != boot_id) is is_fatal
    assert model.is_idle is is_fatal
    assert model.submit(Submission("third", "x", 5), 2_000.0) is None


def test_a_duplicate_id_and_an_oversized_prompt_are_refused():
    model = EngineModel(EngineModelSettings(memory_limit_tokens=10), 0.0)
    submit(model, "first", 5)
    assert model.submit(Submission("first", "x", 5), 0.0) == "duplicate_generation"
    assert model.submit(Submission("long", "x" * 50, 5), 0.0) == "prompt_too_long"


def test_cancelling_frees_memory_and_cancelling_again_has_no_effect():
    model = EngineModel(EngineModelSettings(), 0.0)
    submit(model, "first", 50)
    model.step(0.0)
    assert model.cancel("first")
    assert model.memory_used_tokens == 0
    assert not model.cancel("first")


def test_output_length_is_a_function_of_prompt_and_seed():
    settings = EngineModelSettings()
    lengths = [output_length(f"prompt {number}", settings) for number in range(400)]
    assert lengths == [output_length(f"prompt {n}", settings) for n in range(400)]
    assert 35 < sorted(lengths)[200] < 65
    assert max(lengths) > 5 * min(lengths)
    assert output_length("a [tokens=7] b", settings) == 7


def test_reaching_max_tokens_gives_the_finish_reason_length():
    model = EngineModel(EngineModelSettings(), 0.0)
    assert model.submit(Submission("g", "x [tokens=9]", 2), 0.0) is None
    model.step(0.0)
    assert model.step(10.0).tokens[0].finish_reason == "length"
    assert model.is_idle


def test_cached_prefixes_shorten_the_step_and_their_events_are_delayed():
    settings = EngineModelSettings(prefill_per_token_ms=1.0, cache_event_gap_ratio=0.0)
    model = EngineModel(settings, 0.0)
    prompt = "z" * 640
    durations = []
    for name in ("first", "second"):
        model.submit(Submission(name, prompt, 1), 0.0)
        durations.append(model.step(0.0).duration_ms)
    assert durations[1] < durations[0] / 2
    assert model.cache_events(0, 0.0).events == ()
    delayed = model.cache_events(0, 1_000.0).events
    assert tuple(event.prefix_digest for event in delayed) == prefix_digests(prompt)


def test_a_load_report_is_renewed_only_after_its_interval():
    model = EngineModel(EngineModelSettings(load_report_interval_ms=100.0), 0.0)
    submit(model, "first", 50)
    model.step(0.0)
    old_report = model.load_report(10.0)
    assert (old_report.running_count, old_report.report_age_ms) == (0, 10.0)
    model.step(150.0)
    assert model.load_report(170.0).running_count == 1
