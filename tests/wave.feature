Feature: wave

  Scenario: a wave completes without intervention after any failures
    Then generated waves with failures keep every budget and complete

  Scenario Outline: a waiting wave gives the reason
    Given a wave on pools of <a_vms> and 4 VMs that keep <budget> serving
    When the platform shows <failed> failed and "<entry>" does not answer
    Then the wave waits with reason "<reason>" and a detail with "<text>"

    Examples:
      | a_vms | budget | failed   | entry | reason           | text          |
      | 8     | 4      | a1,a3,a5 | e2    | budget           | 4 would serve |
      | 8     | 8      | none     | none  | budget           | 8 must        |
      | 8     | 4      | none     | e2    | not-acknowledged | e2            |
      | 1     | 0      | a0       | none  | not-serving      | a0            |

  Scenario: a batch is aborted if too many VMs fail before its drain
    Given a wave on pools of 8 and 4 VMs that keep 4 serving
    When the wave is planned without answers of "e2" and then a1, a3, a5 and a7 fail
    Then the batch of pool "a" is aborted with reason "budget"

  Scenario: a batch of an old round is aborted when a new round is rolled
    Given a wave on pools of 8 and 4 VMs that keep 4 serving
    When the wave is planned without answers of "e2" and then a new round is rolled
    Then the batch of pool "a" is aborted with reason "outdated"

  Scenario Outline: weights decide the size of a batch
    Then of <due> VMs, <most> at most, the weights <rollout> and <buffer> take <size>

    Examples:
      | due | most | rollout | buffer | size |
      | 8   | 4    | 1       | 0      | 4    |
      | 5   | 4    | 1       | 0      | 3    |
      | 8   | 4    | 0       | 1      | 1    |
      | 16  | 9    | 1       | 1      | 4    |
      | 1   | 1    | 1       | 1      | 1    |

  Scenario: a batch is within one rack of the first zone
    Given a wave on pools of 16 and 4 VMs that keep 4 serving
    Then with zone "z1" first, the first batch of pool "a" is in one rack of "z1"
