"""Test that written records mean what the configuration says."""

import pytest

from dewstep_core import records
from dewstep_emulator import builders, record_files


@pytest.mark.parametrize("schemas", [{}, {"history": 1}, {"history": 1, "intake": 1}])
def test_records_are_read_back_as_they_were(tmp_path, schemas):
    """Guards against scenarios that apply something else than they say.

    Booker is left out: schema version 1 cannot express its deduplication.
    """
    configuration = builders.build_configuration()
    file = tmp_path / "records.toml"
    record_files.write_records(configuration, file, schemas)
    parsed = records.parse_files([str(file)]).unwrap()
    assert parsed.targets == configuration.targets
    for name, service in configuration.services.items():
        expected = service._replace(schema=schemas.get(name, service.schema))
        assert parsed.services[name] == expected
