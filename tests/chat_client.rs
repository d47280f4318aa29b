//! An off-the-shelf chat client works unchanged, whole and streamed.

mod whole_path;

use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
    CreateChatCompletionRequestArgs,
};
use futures::StreamExt as _;

fn request(text: &str) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default().content(text).build().unwrap();
    CreateChatCompletionRequestArgs::default()
        .model("small")
        .messages([message.into()])
        .build()
        .unwrap()
}

fn client(path: &whole_path::WholePath) -> async_openai::Client<OpenAIConfig> {
    let config = OpenAIConfig::new().with_api_base(path.url("/v1")).with_api_key(whole_path::TOKEN);
    async_openai::Client::with_config(config)
}

/// Guards against replies that the usual client library cannot read.
#[tokio::test(flavor = "multi_thread")]
async fn whole_and_streamed_answers_are_equal() {
    let path = whole_path::start().await;
    let client = client(&path);
    let whole = client.chat().create(request("hello")).await.unwrap();
    let text = whole.choices[0].message.content.clone().unwrap();
    assert!(text.starts_with("good: small/v1 "), "{text}");
    let mut stream = client.chat().create_stream(request("hello")).await.unwrap();
    let mut streamed = String::new();
    while let Some(chunk) = stream.next().await {
        for choice in chunk.unwrap().choices {
            streamed.push_str(&choice.delta.content.unwrap_or_default());
        }
    }
    assert_eq!(streamed, text);
    assert_eq!(client.models().list().await.unwrap().data[0].id, "small");
}

/// Guards against a streamed batch request that clients cannot read, or that is cut.
#[tokio::test(flavor = "multi_thread")]
async fn streamed_batch_request_gets_the_whole_answer() {
    let path = whole_path::start().await;
    let whole = client(&path).chat().create(request("hello")).await.unwrap();
    let text = whole.choices[0].message.content.clone().unwrap();
    let config = OpenAIConfig::new().with_api_base(path.url("/v1")).with_api_key(whole_path::TOKEN);
    let config = config.with_header("x-yuccareel-priority", "batch").unwrap();
    let batch = async_openai::Client::with_config(config);
    let mut stream = batch.chat().create_stream(request("hello")).await.unwrap();
    let (mut streamed, mut finished) = (String::new(), false);
    while let Some(chunk) = stream.next().await {
        for choice in chunk.unwrap().choices {
            streamed.push_str(&choice.delta.content.unwrap_or_default());
            finished |= choice.finish_reason.is_some();
        }
    }
    assert_eq!(streamed, text);
    assert!(finished);
}
