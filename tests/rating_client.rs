//! Contract of the rating service, over HTTP and in memory, and health of the service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use salvo::prelude::{Depot, Request, Response, Router, handler};
use yuccareel::rating_client::{
    HttpRatingService, RatingError, RatingHealth, RatingRequest, RatingService,
};
use yuccareel::standins::{rating, server};

fn request(prompt: &str, ability: f64) -> RatingRequest {
    RatingRequest {
        customer: "c".to_owned(),
        kind: "k".to_owned(),
        prompt: prompt.to_owned(),
        answer: rating::answer_text("m", ability),
    }
}

/// Guards against late ratings, ratings that differ over HTTP, and faults that are not reported.
#[tokio::test]
async fn contract_of_the_rating_service() {
    struct Case {
        name: &'static str,
        faults: rating::RatingFaults,
        check: fn(&Result<f64, RatingError>) -> bool,
    }
    let none = rating::RatingFaults::default;
    let cases = [
        Case {
            name: "answers",
            faults: none(),
            check: |score| score.as_ref().is_ok_and(|score| *score > 0.98),
        },
        Case {
            name: "wrong",
            faults: rating::RatingFaults { wrong_share: 1.0, ..none() },
            check: |score| score.as_ref().is_ok_and(|score| *score <= 0.5),
        },
        Case {
            name: "outage",
            faults: rating::RatingFaults { outage: true, ..none() },
            check: |score| matches!(score, Err(RatingError::Failed(_))),
        },
        Case {
            name: "slow",
            faults: rating::RatingFaults { delay_ms: 5_000, ..none() },
            check: |score| *score == Err(RatingError::TimedOut),
        },
    ];
    let direct = rating::RatingStandin::default();
    let served = rating::RatingStandin::default();
    let (address, _task) = server::serve(rating::router(served.clone())).await;
    let client = HttpRatingService::new(reqwest::Client::new(), format!("http://{address}"));
    let services: [(&str, &rating::RatingStandin, Arc<dyn RatingService>); 2] =
        [("memory", &direct, Arc::new(direct.clone())), ("http", &served, Arc::new(client))];
    for (name, standin, service) in services {
        for case in &cases {
            *standin.faults.lock() = case.faults.clone();
            let started = Instant::now();
            let score = service.rate(request("p", 1.0)).await;
            assert!((case.check)(&score), "{name}: {}: {score:?}", case.name);
            assert!(started.elapsed() < Duration::from_secs(3), "{name}: {}", case.name);
        }
        assert_eq!(standin.calls(), cases.len() as u64, "{name}");
    }
}

#[handler]
async fn score_beyond_one(_: &mut Request, _: &mut Depot, response: &mut Response) {
    response.render(salvo::writing::Json(serde_json::json!({ "score": 7.5 })));
}

/// Guards against a score out of range that counts as a good answer.
#[tokio::test]
async fn score_out_of_range_is_refused() {
    let (address, _task) = server::serve(Router::with_path("rate").post(score_beyond_one)).await;
    let client = HttpRatingService::new(reqwest::Client::new(), format!("http://{address}"));
    let score = client.rate(request("p", 1.0)).await;
    assert!(matches!(score, Err(RatingError::Unreadable(_))), "{score:?}");
}

/// Guards against requests that wait for an unavailable service, and against a service that is
/// never probed again.
#[test]
fn health_follows_consecutive_failures() {
    let mut health = RatingHealth::default();
    for succeeded in [false, false, true, false, false] {
        health.record(succeeded);
        assert!(health.is_available());
    }
    assert!(!health.try_take_probe(Duration::ZERO));
    health.record(false);
    assert!(!health.is_available());
    let probes = (0..100).filter(|tick| health.try_take_probe(Duration::from_millis(100 * tick)));
    assert_eq!(probes.count(), 10);
    health.record(true);
    assert!(health.is_available());
}

/// Guards against a stand-in whose ratings disagree with the hidden difficulty of the prompts.
#[test]
fn ratings_follow_the_hidden_difficulty() {
    let (mut good, mut wrong) = (0, 0);
    for number in 0..10_000 {
        let prompt = format!("prompt {number}");
        let is_good = rating::is_good(&prompt, "m", 0.6);
        good += usize::from(is_good);
        let answer = rating::answer_text("m", 0.6);
        assert_eq!(rating::score(&prompt, &answer, 0.0) > 0.5, is_good);
        wrong += usize::from((rating::score(&prompt, &answer, 0.02) > 0.5) != is_good);
    }
    // A model of ability 0.6 answers a fraction of 0.625 well; 2% of 10,000 ratings are wrong.
    assert!((6_050..=6_450).contains(&good), "{good}");
    assert!((150..=250).contains(&wrong), "{wrong}");
}

/// Guards against ratings that contradict the `good:` or `poor:` mark in the answer of the engine
/// stand-in.
#[test]
fn answers_of_the_engine_standin_are_rated_by_their_mark() {
    for prompt in ["one", "two", "three", "four", "five", "six"] {
        let rated = |mark: &str, ability| {
            let answer = format!("{mark} m/v1 {} w4 ", rating::answer_text("m", ability));
            rating::score(prompt, &answer, 0.0)
        };
        let (good, poor) = (rated("good:", 1.0), rated("poor:", 0.0));
        assert!(good > 0.98 && poor <= 0.5, "{prompt}: good {good}, poor {poor}");
    }
}
