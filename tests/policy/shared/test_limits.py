"""The last word of a target on its limit, in whatever order words come."""

from cairnferry.policy import NO_LIMIT, AdvertisedLimit, LimitRegistry


def test_a_limit_holds_until_an_answer_to_a_later_request_names_none():
    book = LimitRegistry()
    assert book.note_answer("i-1", 2.6, 1.0, 1.2)
    assert book.rate("i-1") == 2.6
    # Sent before the limit was heard: its answer may have been made before it.
    assert not book.note_answer("i-1", NO_LIMIT, 1.1, 1.3)
    assert book.rate("i-1") == 2.6
    assert book.note_answer("i-1", NO_LIMIT, 1.3, 1.4)
    assert book.rate("i-1") is None
    assert len(book) == 0


def test_a_late_answer_does_not_raise_a_limit_that_was_lowered_meanwhile():
    book = LimitRegistry()
    book.note_answer("i-1", 2.0, 2.0, 2.1)
    assert not book.note_answer("i-1", 5.0, 1.0, 2.2)
    assert book.rate("i-1") == 2.0
    assert book.note_answer("i-1", 5.0, 2.3, 2.4)
    assert book.rate("i-1") == 5.0


def test_what_others_tell_holds_if_it_is_later():
    book = LimitRegistry()
    assert book.receive("i-1", AdvertisedLimit(4.0, 1.0))
    assert not book.receive("i-1", AdvertisedLimit(9.0, 0.5))
    assert book.rate("i-1") == 4.0
    assert book.receive("i-1", AdvertisedLimit(NO_LIMIT, 2.0))
    assert not book.receive("i-1", AdvertisedLimit(4.0, 1.5))
    assert book.rate("i-1") is None


def test_a_lift_that_is_told_keeps_an_older_word_from_coming_back():
    book = LimitRegistry()
    book.receive("i-1", AdvertisedLimit(NO_LIMIT, 2.0))
    assert not book.receive("i-1", AdvertisedLimit(4.0, 1.0))
    assert book.rate("i-1") is None


def test_a_limit_of_nothing_lets_one_request_in_ten_seconds_find_out_its_end():
    book = LimitRegistry()
    book.note_answer("i-1", 0.0, 1.0, 1.1)
    assert book.rate("i-1") == 0.1


def test_limits_go_with_their_targets_but_not_before_a_row_may_have_come():
    book = LimitRegistry()
    book.note_answer("i-1", 2.0, 1.0, 1.1)
    book.note_answer("i-2", 2.0, 1.0, 1.1)
    assert book.forget_unlisted({"i-1"}, 10.0) == []
    assert book.forget_unlisted({"i-1"}, 90.0) == ["i-2"]
    assert list(book.in_force()) == ["i-1"]


def test_limits_of_unknown_targets_are_bounded():
    book = LimitRegistry()
    for number in range(5000):
        book.receive(f"i-{number}", AdvertisedLimit(1.0, float(number)))
    assert len(book) == 4096
