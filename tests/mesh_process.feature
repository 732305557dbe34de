Feature: entries without access to the log or paused

  Scenario: an entry without access to the log works through its peer
    Given entry e2 with access to the log and entry e1 without
    Then entry e1 is a member and answers requests
    And entry e1 stays fresh while 20 records are appended
    When a second bundle is rolled while entry e1 has no access to the log
    Then entry e1 has the second bundle in force
    When e1 and e2 have acknowledged a batch with vm0
    And the drain of the batch starts while entry e1 has no access to the log
    Then entry e1 sends to the other endpoint only
    And entry e1 has confirmed the drain

  Scenario: entries that were all paused at the same time resume
    Given the entries e1 and e2 as processes and 2 endpoints
    When both entries are paused for 4 seconds
    Then both entries answer requests again with unchanged incarnations

  Scenario: an entry that was paused before it met its only peer exits to be restarted
    Given the entry e1 as a process and 2 endpoints, while e2 has not started
    When e1 is paused for 4 seconds while e2 starts
    Then e1 exits by itself with status 0

  Scenario: a paused entry whose only peer was replaced meanwhile exits to be restarted
    Given the entries e1 and e2 as processes and 2 endpoints
    When e1 is paused while e2 is killed and replaced
    Then e1 exits by itself with status 0
