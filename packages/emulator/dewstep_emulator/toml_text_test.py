"""Test of the TOML form of records."""

from dewstep_core import records, settings
from dewstep_emulator import deployments, toml_text


def test_formatted_records_are_parsed_to_the_same_configuration():
    # Guards against a fleet whose record files differ from its table.
    deployment = deployments.plan_tsagaan(0.1)
    addresses = {
        name: settings.Address("127.0.0.1", 1000 + number)
        for number, name in enumerate(deployments.name_targets(deployment))
    }
    configuration = deployments.build_configuration(deployment, addresses)
    text = toml_text.format_records(configuration)
    parsed = records.parse_texts([("file", text)], 1).unwrap()
    assert parsed.services == configuration.services
    assert parsed.targets == configuration.targets
