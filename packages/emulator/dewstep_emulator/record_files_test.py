"""Test that written records are equivalent to the configuration."""

import pytest

from dewstep_core import records
from dewstep_emulator import builders, record_files


@pytest.mark.parametrize("schemas", [{}, {"history": 1}, {"history": 1, "intake": 1}])
def test_written_records_are_parsed_to_the_same_configuration(tmp_path, schemas):
    """Guards against scenarios that apply another configuration than intended.

    Schema version 1 is not tested with `booker`, whose deduplication it cannot express.
    """
    configuration = builders.build_configuration()
    file = tmp_path / "records.toml"
    record_files.write_records(configuration, file, schemas)
    parsed = records.parse_files([str(file)]).unwrap()
    assert parsed.targets == configuration.targets
    for name, service in configuration.services.items():
        expected = service._replace(schema=schemas.get(name, service.schema))
        assert parsed.services[name] == expected
