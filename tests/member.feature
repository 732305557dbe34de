Feature: an entry's part in the fleet

  Scenario Outline: they wait for what a newcomer may have sent on its word
    Given a member of the fleet that reads the log
    When its lease lapses, which <notice> notices, <times> and a batch is opened
    Then it acknowledges the batch only after the hold and the longest deadline

    Examples:
      | notice         | times |
      | a tick         | once  |
      | a tick         | twice |
      | a heartbeat    | once  |

  Scenario: a member that stood still sends nothing before it has read the tail
    Given a member of the fleet that reads the log
    When its process stands still for a minute
    Then it sends to no VM until it has read the tail

  Scenario: requests that waited while the process stood still are sent afterwards
    Given a member of the fleet that reads the log
    When its process stands still for a minute
    And it has read the tail since
    Then it tells those who wait that it may send again, once
