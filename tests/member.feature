Feature: an entry's acknowledgements after it lost its lease

  Scenario Outline: they wait for what a newcomer may have sent on its word
    Given a member of the fleet that reads the log
    When its lease lapses, which <notice> notices, <times> and a batch is opened
    Then it acknowledges the batch only after the hold and the longest deadline

    Examples:
      | notice         | times |
      | a tick         | once  |
      | a tick         | twice |
      | a heartbeat    | once  |
