Feature: Applying configuration records

  Scenario: The first configuration
    When Ana applies one target
    Then the command exits with 0
    And revision 1 with targets h1 is in the table

  Scenario: Two operators write from the same revision
    Given one target is in force
    And Bat applies two targets while Ana's command is about to write
    When Ana applies no target
    Then the command exits with 1
    And the message names revision 2, bat@desk and 2026-01-01
    And revision 2 with targets h1 h2 is in the table

  Scenario: Files are based on a revision that is no longer in force
    Given one target is in force
    When Ana applies two targets with --revision 0
    Then the command exits with 1
    And the message names revision 1, ana@desk and 2026-01-01
    And revision 1 with targets h1 is in the table

  Scenario: The answer to the write is lost
    Given the next answer of the table is lost
    When Ana applies one target
    Then the command exits with 0
    And revision 1 with targets h1 is in the table

  Scenario: The write itself is lost
    Given the next request to the table is lost
    When Ana applies one target
    Then the command exits with 0
    And revision 1 with targets h1 is in the table

  Scenario: The answer is lost and another operator writes before the row is read back
    Given the next answer of the table is lost
    And Bat applies two targets right after the loss
    When Ana applies one target
    Then the command exits with 0
    And revision 2 with targets h1 h2 is in the table

  Scenario: The answer is lost and the table stays down
    Given the next answer of the table is lost and the table goes down
    When Ana applies one target
    Then the command exits with 4

  Scenario: The table is down
    Given the table is down
    When Ana applies one target
    Then the command exits with 3
    And nothing is in the table

  Scenario: A record is invalid
    When Ana applies an invalid record
    Then the command exits with 2
    And nothing is in the table

  Scenario: The same records again
    Given one target is in force
    When Ana applies one target
    Then the command exits with 0
    And revision 1 with targets h1 is in the table

  Scenario: Records that do not state whether a target is draining
    Given two targets are in force
    And h1 is draining
    When Ana applies two targets
    Then the command exits with 0
    And h1 is still draining

  Scenario: A target that owns keys is removed
    Given two targets are in force
    And the fleet is running
    When Ana applies one target
    Then the command exits with 1
    And revision 1 with targets h1 h2 is in the table

  Scenario: A shard moves to a target while its record is removed
    Given two targets are in force
    And h2 owns nothing until Ana's command is about to write
    When Ana applies one target
    Then the command exits with 1
    And revision 1 with targets h1 h2 is in the table

  Scenario: The number of shards changes
    Given one target is in force
    When Ana applies more shards
    Then the command exits with 1
    And revision 1 with targets h1 is in the table

  Scenario: Waiting until the revision is in force everywhere
    Given one target is in force
    And the fleet is running
    And the entry processes load revision 2 one after the other
    When Ana applies two targets with --wait
    Then the command exits with 0
    And progress goes from 0 to 1 to 2 entry processes

  Scenario: An entry process never loads the revision
    Given one target is in force
    And the fleet is running
    When Ana applies two targets with --wait
    Then the command exits with 4
