from dewstep_core import records, settings
from dewstep_emulator import deployments, toml_text


def test_records_survive_the_way_through_a_file():
    # Guards against a test fleet whose files mean something else than its table.
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
