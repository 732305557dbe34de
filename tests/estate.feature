Feature: estate

  Scenario: bytes that are no VM list are refused
    Then generated JSON is a VM list or a platform error

  Scenario: the outcomes of a platform call are told apart
    Given a platform that answers 200, 409, 503 and then nothing
    Then reboots are taken, outdated, unavailable and unknown in turn
    And a platform that is gone did nothing
