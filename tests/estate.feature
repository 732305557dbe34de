Feature: estate

  Scenario: a response that is not a VM list is rejected
    Then generated JSON is parsed as a VM list or raises PlatformError

  Scenario: the outcomes of a platform call are distinguished
    Given a platform that responds with 200, 409, 503 and then not at all
    Then reboots are accepted, outdated, unavailable and unknown in turn
    And a reboot is unavailable when the platform cannot be reached
