from dewstep_entry import header_rules


def test_headers_listed_in_connection_are_dropped():
    # Guards against forwarding a hop-by-hop header to the next hop.
    headers = ((b"connection", b"close, X-Hop"), (b"x-hop", b"1"), (b"a", b"2"))
    kept = header_rules.drop_headers(headers, header_rules.HOP_BY_HOP_HEADERS)
    assert kept == ((b"a", b"2"),)
    assert header_rules.find_header(kept, b"a") == b"2"
    assert header_rules.find_header(kept, b"b") is None


def test_keys_cannot_inject_headers():
    assert header_rules.encode_value("a\r\nb: ü%") == b"a%0D%0Ab:%20%C3%BC%25"
    assert header_rules.encode_value("dealer-7/x") == b"dealer-7/x"


def test_headers_listed_in_any_connection_header_are_dropped():
    # Guards against forwarding a header that only a later Connection header lists.
    headers = (
        (b"connection", b"X-Hop"),
        (b"x-other", b"1"),
        (b"x-hop", b"1"),
        (b"connection", b", x-other"),
    )
    assert header_rules.drop_headers(headers, header_rules.HOP_BY_HOP_HEADERS) == ()


def test_host_listed_in_connection_is_kept():
    # Guards against 400 since a head without a host cannot be built.
    headers = ((b"connection", b"host, close"), (b"host", b"h"))
    kept = header_rules.drop_headers(headers, header_rules.HOP_BY_HOP_HEADERS)
    assert kept == ((b"host", b"h"),)
