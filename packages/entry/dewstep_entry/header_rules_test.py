from dewstep_entry import header_rules


def test_headers_named_by_connection_are_dropped():
    # A header for one hop would otherwise change the meaning of the next one.
    headers = ((b"connection", b"close, X-Hop"), (b"x-hop", b"1"), (b"a", b"2"))
    kept = header_rules.drop_headers(headers, header_rules.HOP_BY_HOP)
    assert kept == ((b"a", b"2"),)
    assert header_rules.find_header(kept, b"a") == b"2"
    assert header_rules.find_header(kept, b"b") is None


def test_keys_cannot_break_out_of_their_header():
    assert header_rules.encode_value("a\r\nb: ü%") == b"a%0D%0Ab:%20%C3%BC%25"
    assert header_rules.encode_value("dealer-7/x") == b"dealer-7/x"
