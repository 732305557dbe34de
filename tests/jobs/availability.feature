Feature: which lasting tasks may be taken away

  Scenario: of a step with a budget of one, only one task at a time is taken away
    Given a lasting step of 3 tasks with a budget of 1, each on its own executor
    When all its tasks are at work
    Then the first executor may be emptied
    And the second executor may not be emptied while the first one is
    When the first task is at work elsewhere
    Then the second executor may be emptied

  Scenario: a task on an executor that went silent counts as away
    Given a lasting step of 3 tasks with a budget of 1, each on its own executor
    When all its tasks are at work
    And the third executor has not reported for 3 s
    Then the first executor may not be emptied while the third one is silent

  Scenario: two tasks on one executor are moved off one at a time
    Given a lasting step of 2 tasks with a budget of 1, both on one executor
    When all its tasks are at work
    Then the first executor may not be emptied while it holds both
    And one of its tasks is stopped first

  Scenario: a new scheduler takes nothing away that the last one may be stopping
    Given a lasting step of 2 tasks with a budget of 1, both on one executor
    When another scheduler began 0.5 s ago
    And all its tasks are at work
    Then the first executor may not be emptied while stops may be under way
    And none of its tasks is stopped yet
    When another scheduler began 3.0 s ago
    Then one of its tasks is stopped first
